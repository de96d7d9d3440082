#include "model_agent.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <utility>
#include <variant>

namespace egretstile::testing {

namespace {

/// Capacity of a worker in the larger deployment at its present size.
constexpr resources worker_capacity{64'000, 250'000, 1};

} // namespace

model_agent::model_agent(egretstile::event_loop& loop,
                         const std::vector<egretstile::endpoint>& entries,
                         const std::string& deployment_key, const vm_name& vm,
                         const failure_domain_name& failure_domain, milliseconds run_time,
                         fleet_counters& counters)
    : vm_(vm)
    , failure_domain_(failure_domain)
    , incarnation_(static_cast<incarnation_number>(boot_now().time_since_epoch().count()))
    , run_time_(run_time)
    , counters_(counters) {
    for (const egretstile::endpoint& entry : entries) {
        daemon::frame_connection::handlers callbacks;
        callbacks.on_open = [](daemon::frame_connection&, const wire::hello&) {};
        callbacks.on_message = [this](daemon::frame_connection& connection,
                                      wire::message&& message) {
            handle_message(connection, message);
        };
        callbacks.on_closed = [this](daemon::frame_connection&) { ++counters_.connections_lost; };
        links_.push_back(std::make_unique<daemon::frame_client>(
            loop, entry, deployment_key, wire::hello{wire::peer_role::agent, vm_, incarnation_},
            std::move(callbacks)));
    }
}

void model_agent::maintain() {
    for (const std::unique_ptr<daemon::frame_client>& link : links_) {
        link->maintain();
    }
}

void model_agent::send_heartbeats(boot_time now) {
    for (auto& [run, state] : runs_) {
        if (state.report.phase == run_phase::running && now >= state.ends_at) {
            state.report.phase = run_phase::succeeded;
            state.report.detail = "ok";
        }
    }
    const wire::heartbeat heartbeat = make_heartbeat();
    for (const std::unique_ptr<daemon::frame_client>& link : links_) {
        if (link->send(heartbeat)) {
            ++counters_.heartbeats_sent;
        }
    }
}

std::uint64_t model_agent::bytes_sent() const {
    std::uint64_t total = 0;
    for (const std::unique_ptr<daemon::frame_client>& link : links_) {
        total += link->bytes_sent();
    }
    return total;
}

std::uint64_t model_agent::bytes_received() const {
    std::uint64_t total = 0;
    for (const std::unique_ptr<daemon::frame_client>& link : links_) {
        total += link->bytes_received();
    }
    return total;
}

void model_agent::handle_message(daemon::frame_connection& connection,
                                 const wire::message& message) {
    if (const wire::start_task* const start = std::get_if<wire::start_task>(&message)) {
        handle_start(connection, *start);
    } else if (const wire::heartbeat_reply* const reply =
                   std::get_if<wire::heartbeat_reply>(&message)) {
        handle_reply(*reply);
    } else if (const wire::evict_task* const evict = std::get_if<wire::evict_task>(&message)) {
        const auto found = runs_.find(evict->run);
        if (found != runs_.end()) {
            found->second.report.phase =
                evict->take_checkpoint ? run_phase::checkpointed : run_phase::stopped;
            found->second.report.checkpoint = "checkpoint";
        }
    }
}

void model_agent::handle_start(daemon::frame_connection& connection,
                               const wire::start_task& start) {
    const task_run run{start.spec.key, start.attempt};
    model_run& state = runs_[run];
    if (state.report.run.key.empty()) {
        ++counters_.starts;
        state.spec = start.spec;
        state.ends_at = boot_now() + run_time_;
        state.report = {run, start.shard, run_phase::running, start.checkpoint, ""};
    }
    wire::start_reply reply;
    reply.report = state.report;
    connection.send(reply);
}

void model_agent::handle_reply(const wire::heartbeat_reply& reply) {
    ++counters_.replies;
    for (const task_run& run : reply.acknowledged) {
        counters_.acknowledged += runs_.erase(run);
    }
    for (const task_run& run : reply.stop) {
        const auto found = runs_.find(run);
        if (found != runs_.end() && !has_ended(found->second.report.phase)) {
            found->second.report.phase = run_phase::stopped;
        }
    }
}

wire::heartbeat model_agent::make_heartbeat() {
    wire::heartbeat heartbeat;
    heartbeat.sequence = ++sequence_;
    heartbeat.vm = vm_;
    heartbeat.incarnation = incarnation_;
    heartbeat.failure_domain = failure_domain_;
    heartbeat.rack = "rack-1";
    heartbeat.worker_known = true;
    heartbeat.worker_boot = "boot-1";
    heartbeat.capacity = worker_capacity;
    heartbeat.upstream = {"model-service", wire::upstream_state::ready, 8, 2, 64, 1500};
    for (const auto& [run, state] : runs_) {
        heartbeat.runs.push_back(state.report);
        if (!has_ended(state.report.phase)) {
            heartbeat.reserved = heartbeat.reserved + state.spec.need;
            heartbeat.usage.push_back(
                {run, state.spec.team, state.spec.kind, state.spec.need, state.spec.need});
        }
    }
    return heartbeat;
}

} // namespace egretstile::testing
