#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

/// A queue of the operators' configuration: which callers' requests it takes and how its jobs are
/// treated.
struct queue_policy {
    std::string name;
    /// Host and path prefix of the requests that the queue takes.
    std::string host;
    std::string path_prefix;
    /// Service whose runners execute the tasks.
    std::string service;
    /// Zero comes first.
    std::uint32_t priority{0};
    /// Runs of a task that may fail before the job fails.
    std::uint32_t max_attempts{1};
    /// A job should be done within its longest chain of work times this, plus `target_completion`.
    double slack_factor{1.0};
    milliseconds target_completion{0};
    /// Whether runners must be approved by the advisor.
    bool needs_advice{false};
};

struct service_policy {
    std::string name;
    /// Whether the service's runners refuse what does not fit.
    bool runners_enforce_capacity{false};
};

struct request_limits {
    std::size_t max_body_bytes{262144};
};

/// The operators' configuration, the newest version in full.
struct operator_config {
    std::uint64_t version{0};
    std::vector<queue_policy> queues;
    std::vector<service_policy> services;
    request_limits limits;
};

/// The queue whose host matches and whose prefix is the longest that `path` begins with; null when
/// there is none. The result points into `config`. Thread-safe.
const queue_policy* find_queue(const operator_config& config, const std::string& host,
                               const std::string& path);

/// The queue of this name; null when there is none. The result points into `config`. Thread-safe.
const queue_policy* find_queue_by_name(const operator_config& config, const std::string& name);

} // namespace egretstile
