#include "jobs/registered_runner.hpp"

#include <utility>

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
    answers_ = true;
    if (!id().empty() && instance_start_ms == registered_.instance_start_ms) {
        claimed_.reset();
        return answer_verdict::registered;
    }
    if (claimed_ && claimed_->instance_start_ms == instance_start_ms) {
        registered_ = *std::exchange(claimed_, std::nullopt);
        departure_claimed_ = false;
        return answer_verdict::replaced;
    }
    answers_ = false;
    return answer_verdict::unknown;
}

runner_end_evidence registered_runner::observe_failure(runner_refusal refusal, bool lease_ended) {
    ++failures_;
    consecutive_refusals_ = refusal == runner_refusal::not_running ? consecutive_refusals_ + 1 : 0;
    const bool unreachable = refusal == runner_refusal::no_answer ||
                             refusal == runner_refusal::not_sent ||
                             refusal == runner_refusal::not_running;
    answers_ = answers_ && !unreachable;
    if (consecutive_refusals_ >= refusals_of_ended_runner) {
        return runner_end_evidence::connection_refused;
    }
    return unreachable && lease_ended ? runner_end_evidence::lease_ended
                                      : runner_end_evidence::none;
}

} // namespace egretstile::daemon
