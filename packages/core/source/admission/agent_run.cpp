#include <egretstile/core/admission/agent_run.hpp>

#include <algorithm>

namespace egretstile {

agent_run agent_run::refused(const task_run& run, shard_number shard, refusal reason,
                             std::uint64_t first_heartbeat) {
    agent_run result;
    result.report_ = {run, shard, run_phase::refused, "",
                      std::string(name_of(refusal_names, reason))};
    result.reason_ = reason;
    result.first_heartbeat_ = first_heartbeat;
    return result;
}

agent_run agent_run::admitted(const worker_start& call, std::uint64_t first_heartbeat) {
    agent_run result;
    result.report_ = {call.run, call.shard, run_phase::starting, call.checkpoint, ""};
    result.need_ = call.spec.need;
    result.first_heartbeat_ = first_heartbeat;
    result.grant_until_ = call.lease_until;
    result.lease_until_ = call.lease_until;
    result.start_before_ = call.start_before;
    return result;
}

agent_run agent_run::taken_over(const worker_run& seen, std::uint64_t first_heartbeat,
                                boot_time now) {
    agent_run result;
    result.report_ = {seen.run, seen.shard, run_phase::starting, seen.checkpoint, ""};
    result.need_ = seen.need;
    result.first_heartbeat_ = first_heartbeat;
    result.grant_until_ = seen.lease_until;
    result.listed(seen, now, now);
    return result;
}

void agent_run::extend_grant(boot_time until) {
    if (!ended() && stop_ == stop_request::none) {
        grant_until_ = std::max(grant_until_, until);
    }
}

void agent_run::request_stop(stop_request request) {
    stop_ = std::max(stop_, request);
}

void agent_run::acknowledge() {
    acknowledged_ = acknowledged_ || ended();
}

void agent_run::start_finished(call_result result, boot_time now) {
    if (report_.phase != run_phase::starting || result == call_result::unknown) {
        return;
    }
    changed_at_ = now;
    if (result == call_result::refused) {
        reason_ = refusal::worker_refused;
        end(run_phase::refused, std::string(name_of(refusal_names, reason_)), now);
        return;
    }
    report_.phase = run_phase::running;
    on_worker_ = true;
}

void agent_run::listed(const worker_run& seen, boot_time sent_at, boot_time now) {
    if (ended()) {
        return;
    }
    on_worker_ = true;
    if (has_ended(seen.phase)) {
        keep_checkpoint(seen.checkpoint);
        end(seen.phase, seen.detail, now);
        return;
    }
    const bool starts = report_.phase == run_phase::starting;
    // Otherwise the status may have been made before the last call changed the run.
    if (!starts && may_predate_change(sent_at)) {
        return;
    }
    report_.phase = seen.phase == run_phase::suspended ? seen.phase : run_phase::running;
    lease_until_ = std::max(lease_until_, seen.lease_until);
    keep_checkpoint(seen.checkpoint);
    if (starts) {
        changed_at_ = now;
    }
}

void agent_run::unlisted(boot_time sent_at, boot_time now) {
    if (report_.phase == run_phase::starting) {
        // The start call may still be on its way until the worker refuses it as too late.
        if (sent_at > start_before_) {
            reason_ = refusal::worker_refused;
            end(run_phase::refused, "the worker never listed the run", now);
        }
        return;
    }
    if (may_predate_change(sent_at)) {
        return;
    }
    on_worker_ = false;
    if (!ended()) {
        end(run_phase::lease_expired, "the worker no longer lists the run", now);
    }
}

void agent_run::lost(boot_time now) {
    on_worker_ = false;
    if (!ended()) {
        end(run_phase::lease_expired, "the worker restarted", now);
    }
}

std::optional<worker_action> agent_run::take_due_action(const lease_terms& terms, boot_time now) {
    if (in_flight_ || now < retry_at_) {
        return std::nullopt;
    }
    in_flight_ = due_kind(terms, now);
    if (!in_flight_) {
        return std::nullopt;
    }
    return worker_action{*in_flight_, report_.run, grant_until_};
}

void agent_run::action_finished(const worker_action& action, call_result result,
                                const std::string& checkpoint, const lease_terms& terms,
                                boot_time now) {
    if (in_flight_ != action.kind) {
        return;
    }
    in_flight_.reset();
    if (action.kind != worker_action_kind::renew) {
        changed_at_ = now;
    }
    if (result == call_result::done) {
        action_done(action, checkpoint);
        return;
    }
    retry_at_ = now + terms.heartbeat_interval / 2;
    const bool may_execute = action.kind == worker_action_kind::resume && !ended();
    if (may_execute && result == call_result::unknown) {
        report_.phase = run_phase::running;
    }
}

std::optional<worker_action_kind> agent_run::due_kind(const lease_terms& terms,
                                                      boot_time now) const {
    if (ended()) {
        return acknowledged_ && on_worker_ ? std::optional(worker_action_kind::forget)
                                           : std::nullopt;
    }
    if (report_.phase == run_phase::starting) {
        return std::nullopt;
    }
    if (stop_ != stop_request::none) {
        return stop_ == stop_request::with_checkpoint ? worker_action_kind::checkpoint_stop
                                                      : worker_action_kind::stop;
    }
    const bool lapses = now >= grant_until_ - terms.suspend_margin;
    if (report_.phase == run_phase::suspended) {
        return lapses ? std::nullopt : std::optional(worker_action_kind::resume);
    }
    if (lapses) {
        return worker_action_kind::suspend;
    }
    return grant_until_ > lease_until_ ? std::optional(worker_action_kind::renew) : std::nullopt;
}

void agent_run::action_done(const worker_action& action, const std::string& checkpoint) {
    if (action.kind == worker_action_kind::forget) {
        on_worker_ = false;
        return;
    }
    if (ended()) {
        return;
    }
    keep_checkpoint(checkpoint);
    switch (action.kind) {
    case worker_action_kind::renew:
        lease_until_ = action.lease_until;
        break;
    case worker_action_kind::suspend:
        report_.phase = run_phase::suspended;
        break;
    case worker_action_kind::resume:
        report_.phase = run_phase::running;
        lease_until_ = action.lease_until;
        break;
    case worker_action_kind::stop:
        report_.phase = run_phase::stopped;
        break;
    case worker_action_kind::checkpoint_stop:
        report_.phase = run_phase::checkpointed;
        break;
    case worker_action_kind::forget:
        break;
    }
}

bool agent_run::may_predate_change(boot_time sent_at) const {
    // A renewal changes no phase. It often runs at the same time as a status call, and would hide
    // what all these statuses show.
    const bool changing = in_flight_ && in_flight_ != worker_action_kind::renew;
    return changing || sent_at <= changed_at_;
}

void agent_run::end(run_phase phase, const std::string& detail, boot_time now) {
    report_.phase = phase;
    report_.detail = detail;
    changed_at_ = std::max(changed_at_, now);
}

void agent_run::keep_checkpoint(const std::string& checkpoint) {
    if (!checkpoint.empty()) {
        report_.checkpoint = checkpoint;
    }
}

} // namespace egretstile
