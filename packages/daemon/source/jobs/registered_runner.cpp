#include "jobs/registered_runner.hpp"

namespace egretstile::daemon {

namespace {

/// A delayed heartbeat is behind by less; a larger distance means that the higher number was not
/// the runner's.
constexpr std::uint64_t max_sequence_distance{1'000'000};

} // namespace

heartbeat_verdict registered_runner::apply(const infrastructure::runner_heartbeat& heartbeat) {
    const bool same = heartbeat.runner_id == id_ && heartbeat.instance_start_ms == start_ms_;
    if (same && heartbeat.sequence < sequence_ &&
        sequence_ - heartbeat.sequence <= max_sequence_distance) {
        return heartbeat_verdict::stale;
    }
    const bool answers_calls =
        answering_start_ms_ != 0 && heartbeat.instance_start_ms == answering_start_ms_;
    if (!same && heartbeat.instance_start_ms < start_ms_ && !answers_calls) {
        return heartbeat_verdict::stale;
    }
    if (!same) {
        answering_start_ms_ = 0;
    }
    id_ = heartbeat.runner_id;
    start_ms_ = heartbeat.instance_start_ms;
    sequence_ = heartbeat.sequence;
    return same ? heartbeat_verdict::refreshed : heartbeat_verdict::replaced;
}

void registered_runner::observe_answer(std::int64_t instance_start_ms) {
    if (instance_start_ms != 0) {
        answering_start_ms_ = instance_start_ms;
    }
}

} // namespace egretstile::daemon
