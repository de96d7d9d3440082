#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>
#include <egretstile/core/routing/request_router.hpp>
#include <egretstile/core/task/shard_ledger.hpp>
#include <egretstile/runtime/net/endpoint.hpp>

#include <cstdint>
#include <string>

namespace egretstile::daemon {

/// Settings common to entries and agents.
struct common_settings {
    std::string deployment{"egretstile"};
    /// Key with which processes of the deployment authenticate each other; read from a file.
    std::string deployment_key;
    /// File to which traces are appended as OTLP/JSON, one batch per line; empty for no traces.
    std::string trace_file;
    std::string log_level{"info"};
    /// File to which the bound ports are written as JSON when the process is ready; empty for none.
    std::string ports_file;
    lease_terms terms;
};

struct entry_settings {
    common_settings common;
    std::string name{"entry"};
    std::string failure_domain;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    /// Address at which other processes reach `peers`; port zero stands for the bound port.
    endpoint advertised;
    endpoint key_value;
    milliseconds key_value_timeout{1000};
    /// Token that authenticates operators; read from a file.
    std::string operator_token;
    std::uint32_t shard_count{16};
    /// Maximum rate of shard record writes of all entries together, per second. The key-value
    /// service handles several hundred writes of all kinds per second.
    std::uint32_t key_value_writes_per_second{300};
    milliseconds default_deadline{2000};
    milliseconds stop_timeout{30000};
    /// Largest share of the plan's rows that a sheet may remove without confirmation, in percent.
    std::uint32_t removal_limit_percent{20};
    placement_policy placement{placement_policy::interference_aware};
    routing_settings routing;
    ledger_limits ledger;
};

} // namespace egretstile::daemon
