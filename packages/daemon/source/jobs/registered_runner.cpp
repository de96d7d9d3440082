#include "jobs/registered_runner.hpp"

namespace egretstile::daemon {

namespace {

using infrastructure::runner_refusal;

/// A delayed heartbeat is behind by less; a larger distance means that the higher number was not
/// the runner's.
constexpr std::uint64_t max_sequence_distance{1'000'000};

/// One refused connection may meet a runner that does not listen yet.
constexpr std::uint64_t refusals_of_ended_runner{2};

} // namespace

heartbeat_verdict registered_runner::apply(const infrastructure::runner_heartbeat& heartbeat) {
    const bool same = heartbeat.runner_id == registered_.runner_id &&
                      heartbeat.instance_start_ms == registered_.instance_start_ms;
    if (same) {
        const std::uint64_t last = registered_.sequence;
        if (heartbeat.sequence < last && last - heartbeat.sequence <= max_sequence_distance) {
            return heartbeat_verdict::stale;
        }
        registered_ = heartbeat;
        departure_claimed_ = false;
        return heartbeat_verdict::refreshed;
    }
    const bool answers_calls =
        answering_start_ms_ != 0 && heartbeat.instance_start_ms == answering_start_ms_;
    const bool registered_answers =
        !id().empty() && answering_start_ms_ == registered_.instance_start_ms;
    if (answers_calls && !registered_answers) {
        take(heartbeat);
        return heartbeat_verdict::replaced;
    }
    claimed_ = heartbeat;
    return heartbeat_verdict::unconfirmed;
}

bool registered_runner::apply_departure(const infrastructure::runner_deregistration& departure) {
    const bool other_instance = departure.instance_start_ms != 0 &&
                                departure.instance_start_ms != registered_.instance_start_ms;
    if (id().empty() || departure.runner_id != id() || other_instance) {
        return false;
    }
    departure_claimed_ = true;
    return true;
}

answer_verdict registered_runner::observe_answer(std::int64_t instance_start_ms) {
    failures_ = 0;
    consecutive_refusals_ = 0;
    if (instance_start_ms == 0) {
        return id().empty() ? answer_verdict::unknown : answer_verdict::registered;
    }
    answering_start_ms_ = instance_start_ms;
    if (!id().empty() && instance_start_ms == registered_.instance_start_ms) {
        claimed_.reset();
        return answer_verdict::registered;
    }
    if (claimed_ && claimed_->instance_start_ms == instance_start_ms) {
        take(infrastructure::runner_heartbeat(*claimed_));
        return answer_verdict::replaced;
    }
    return answer_verdict::unknown;
}

runner_end_evidence registered_runner::observe_failure(runner_refusal refusal, bool lease_ended) {
    ++failures_;
    consecutive_refusals_ = refusal == runner_refusal::not_running ? consecutive_refusals_ + 1 : 0;
    const std::uint64_t needed = departure_claimed_ ? 1 : refusals_of_ended_runner;
    if (consecutive_refusals_ >= needed) {
        return runner_end_evidence::connection_refused;
    }
    const bool unreachable = refusal == runner_refusal::no_answer ||
                             refusal == runner_refusal::not_sent ||
                             refusal == runner_refusal::not_running;
    return unreachable && lease_ended ? runner_end_evidence::lease_ended
                                      : runner_end_evidence::none;
}

void registered_runner::take(const infrastructure::runner_heartbeat& heartbeat) {
    registered_ = heartbeat;
    claimed_.reset();
    departure_claimed_ = false;
}

} // namespace egretstile::daemon
