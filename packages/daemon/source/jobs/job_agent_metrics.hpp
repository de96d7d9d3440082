#pragma once

#include "telemetry/metrics.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/infrastructure/runner/task_runner.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretstile::daemon {

/// Kind of a call from the agent to its runner.
enum class runner_call : std::uint8_t { start, stop, renew, throttle };

inline constexpr std::array<enum_name<runner_call>, 4> runner_call_names{
    {{runner_call::start, "start"},
     {runner_call::stop, "stop"},
     {runner_call::renew, "renew"},
     {runner_call::throttle, "throttle"}}};

/// State of an agent that is read each time its metrics are fetched.
struct job_agent_state {
    std::size_t active_tasks{0};
    /// Epoch of the leader whose orders the agent carries out.
    std::uint64_t epoch{0};
    /// Time until the leader's permission ends; zero when it has ended.
    double permission_seconds{0};
    /// Time until all tasks of the runner have certainly ended if it gets no other lease; zero when
    /// they have.
    double runner_lapse_seconds{0};
    /// Smallest ratio of target to measured latency among the serving tasks of the VM;
    /// zero without any.
    double least_headroom{0};
    std::uint64_t dropped_log_lines{0};
};

/// Metrics of a job agent; docs/metrics.md lists them. Thread-safe.
class job_agent_metrics {
public:
    job_agent_metrics();

    void count_done(runner_call call);
    void count_refused(runner_call call, infrastructure::runner_refusal refusal);
    void set_state(const job_agent_state& state);

    metrics& registry() { return metrics_; }

private:
    /// Success, and each kind of refusal.
    static constexpr std::size_t outcome_count = infrastructure::runner_refusal_names.size() + 1;

    metrics metrics_;
    std::array<std::array<prometheus::Counter*, outcome_count>, runner_call_names.size()> calls_{};
    prometheus::Gauge& active_tasks_;
    prometheus::Gauge& epoch_;
    prometheus::Gauge& permission_;
    prometheus::Gauge& runner_lapse_;
    prometheus::Gauge& headroom_;
    prometheus::Gauge& dropped_log_lines_;
};

} // namespace egretstile::daemon
