#pragma once

#include "net/frame_client.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::testing {

/// Counters of all model agents of a process.
struct fleet_counters {
    std::uint64_t heartbeats_sent{0};
    std::uint64_t replies{0};
    std::uint64_t starts{0};
    std::uint64_t acknowledged{0};
    std::uint64_t connections_lost{0};
};

/// Agent that speaks the real protocol to all entries, with a simulated worker that accepts every
/// start and ends each run after a fixed time. Many of them in one process show what agents cost an
/// entry. Not thread-safe: all calls come from the thread of the event loop.
class model_agent {
public:
    model_agent(egretstile::event_loop& loop, const std::vector<egretstile::endpoint>& entries,
                const std::string& deployment_key, const vm_name& vm,
                const failure_domain_name& failure_domain, milliseconds run_time,
                fleet_counters& counters);

    void maintain();
    void send_heartbeats(boot_time now);

    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    std::size_t runs() const { return runs_.size(); }

private:
    struct model_run {
        run_report report;
        task_spec spec;
        boot_time ends_at;
    };

    void handle_message(daemon::frame_connection& connection, const wire::message& message);
    void handle_start(daemon::frame_connection& connection, const wire::start_task& start);
    void handle_reply(const wire::heartbeat_reply& reply);
    wire::heartbeat make_heartbeat();

    vm_name vm_;
    failure_domain_name failure_domain_;
    incarnation_number incarnation_;
    milliseconds run_time_;
    fleet_counters& counters_;
    std::uint64_t sequence_{0};
    std::map<task_run, model_run> runs_;
    std::vector<std::unique_ptr<daemon::frame_client>> links_;
};

} // namespace egretstile::testing
