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

agent_run agent_run::adopted(const worker_run& listed_run, std::uint64_t first_heartbeat,
                             boot_time now) {
    agent_run result;
    result.report_ = {listed_run.run, listed_run.shard, run_phase::starting, listed_run.checkpoint,
                      ""};
    result.need_ = listed_run.need;
    result.first_heartbeat_ = first_heartbeat;
    result.grant_until_ = listed_run.lease_until;
    result.observe_listed(listed_run, now, now);
    return result;
}

void agent_run::extend_grant(boot_time until) {
    if (!ended() && requested_stop_ == stop_request::none) {
        grant_until_ = std::max(grant_until_, until);
    }
}

void agent_run::request_stop(stop_request request) {
    requested_stop_ = std::max(requested_stop_, request);
}

void agent_run::acknowledge() {
    acknowledged_ = acknowledged_ || ended();
}

void agent_run::start_finished(call_result result, boot_time now) {
    if (report_.phase != run_phase::starting || result == call_result::unknown) {
        return;
    }
    phase_changed_at_ = now;
    if (result == call_result::refused) {
        reason_ = refusal::worker_refused;
        end(run_phase::refused, std::string(name_of(refusal_names, reason_)), now);
        return;
    }
    report_.phase = run_phase::running;
    on_worker_ = true;
}

void agent_run::observe_listed(const worker_run& listed_run, boot_time sent_at, boot_time now) {
    if (ended()) {
        return;
    }
    on_worker_ = true;
    if (has_ended(listed_run.phase)) {
        update_checkpoint(listed_run.checkpoint);
        end(listed_run.phase, listed_run.detail, now);
        return;
    }
    const bool was_starting = report_.phase == run_phase::starting;
    // For a run that is not starting, the status may have been made before the last call changed
    // its phase.
    if (!was_starting && may_predate_phase_change(sent_at)) {
        return;
    }
    report_.phase =
        listed_run.phase == run_phase::suspended ? listed_run.phase : run_phase::running;
    lease_until_ = std::max(lease_until_, listed_run.lease_until);
    update_checkpoint(listed_run.checkpoint);
    if (was_starting) {
        phase_changed_at_ = now;
    }
}

void agent_run::observe_unlisted(boot_time sent_at, boot_time now) {
    if (report_.phase == run_phase::starting) {
        // Until `start_before_` the start call may still reach the worker and take effect.
        if (sent_at > start_before_) {
            reason_ = refusal::worker_refused;
            end(run_phase::refused, "the worker never listed the run", now);
        }
        return;
    }
    if (may_predate_phase_change(sent_at)) {
        return;
    }
    on_worker_ = false;
    if (!ended()) {
        end(run_phase::lease_expired, "the worker no longer lists the run", now);
    }
}

void agent_run::worker_restarted(boot_time now) {
    on_worker_ = false;
    if (!ended()) {
        end(run_phase::lease_expired, "the worker restarted", now);
    }
}

std::optional<worker_action> agent_run::begin_due_action(const lease_terms& terms, boot_time now) {
    if (in_flight_ || now < retry_not_before_) {
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
        phase_changed_at_ = now;
    }
    if (result == call_result::done) {
        apply_action(action, checkpoint);
        return;
    }
    retry_not_before_ = now + terms.heartbeat_interval / 2;
    // A resume without an answer may have taken effect. The run counts as running, so that it is
    // suspended before its grant ends.
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
    if (requested_stop_ != stop_request::none) {
        return requested_stop_ == stop_request::with_checkpoint
                   ? worker_action_kind::checkpoint_stop
                   : worker_action_kind::stop;
    }
    const bool grant_ends_soon = now >= grant_until_ - terms.suspend_margin;
    if (report_.phase == run_phase::suspended) {
        return grant_ends_soon ? std::nullopt : std::optional(worker_action_kind::resume);
    }
    if (grant_ends_soon) {
        return worker_action_kind::suspend;
    }
    return grant_until_ > lease_until_ ? std::optional(worker_action_kind::renew) : std::nullopt;
}

void agent_run::apply_action(const worker_action& action, const std::string& checkpoint) {
    if (action.kind == worker_action_kind::forget) {
        on_worker_ = false;
        return;
    }
    if (ended()) {
        return;
    }
    update_checkpoint(checkpoint);
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

bool agent_run::may_predate_phase_change(boot_time sent_at) const {
    // A renewal does not change the phase. Renewals often overlap status calls; if they counted,
    // all of these statuses would be ignored.
    const bool phase_change_in_flight = in_flight_ && in_flight_ != worker_action_kind::renew;
    return phase_change_in_flight || sent_at <= phase_changed_at_;
}

void agent_run::end(run_phase phase, const std::string& detail, boot_time now) {
    report_.phase = phase;
    report_.detail = detail;
    phase_changed_at_ = std::max(phase_changed_at_, now);
}

void agent_run::update_checkpoint(const std::string& checkpoint) {
    if (!checkpoint.empty()) {
        report_.checkpoint = checkpoint;
    }
}

} // namespace egretstile
