#include <egretstile/core/job/scheduler_messages.hpp>

namespace egretstile {

namespace {

/// Progress in percent at which a long-running task has completed its start-up.
constexpr std::uint32_t started_up_percent = 100;

} // namespace

guarded_run guarded_run_of(const active_run& active, const start_order& attributes) {
    const bool serves = attributes.target_latency_ms > 0;
    guarded_run run;
    run.run = active.run;
    run.fills_idle_cpu = attributes.fills_idle_cpu;
    run.target_latency_ms = attributes.target_latency_ms;
    run.latency_ms = serves ? active.load : 0;
    run.cpu_millicores = attributes.cpu_millicores;
    run.used_millicores = serves ? 0 : active.load;
    run.image = attributes.image;
    run.warm = !serves || active.percent >= started_up_percent;
    return run;
}

} // namespace egretstile
