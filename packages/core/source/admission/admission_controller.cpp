#include <egretstile/core/admission/admission_controller.hpp>

#include <algorithm>
#include <set>

namespace egretstile {

namespace {

task_run run_of(const start_request& request) {
    return {request.spec.key, request.attempt};
}

bool is_non_negative(const resources& need) {
    return fits({}, need);
}

} // namespace

admission_controller::admission_controller(incarnation_number incarnation, const lease_terms& terms)
    : incarnation_(incarnation)
    , terms_(terms)
    , heartbeats_(terms.grant_term)
    , runs_(terms.grant_term) {}

void admission_controller::worker_status_received(const worker_status& status, boot_time sent_at,
                                                  boot_time now) {
    const bool outdated = (last_status_sent_at_ && sent_at < *last_status_sent_at_) ||
                          sent_at + terms_.grant_term < now;
    if (outdated) {
        return;
    }
    last_status_sent_at_ = sent_at;
    worker_known_ = status.incarnation <= incarnation_;
    if (!worker_known_) {
        return;
    }
    if (!worker_boot_.empty() && worker_boot_ != status.boot) {
        runs_.end_runs_of_previous_boot(status.runs, now);
        first_heartbeat_of_boot_ = heartbeats_.next_sequence();
    }
    worker_boot_ = status.boot;
    capacity_ = status.capacity;
    runs_.update_from_worker(status.runs, heartbeats_.next_sequence(), sent_at, now);
}

start_decision admission_controller::request_start(const start_request& request, boot_time now) {
    const task_run run = run_of(request);
    const bool epoch_accepted = accept_epoch(request.shard, request.epoch);
    if (const agent_run* const existing = runs_.find(run)) {
        return answer_repeated_start(*existing);
    }
    if (const agent_run* const retired = runs_.find_retired(run)) {
        return answer_repeated_start(*retired);
    }
    if (request.incarnation != incarnation_) {
        return start_existing{{run, request.shard, run_phase::starting, "", ""}};
    }
    const refusal reason = epoch_accepted ? refusal_reason(request, now) : refusal::stale_epoch;
    if (reason != refusal::none) {
        runs_.add(agent_run::refused(run, request.shard, reason, heartbeats_.next_sequence()));
        return start_refused{reason};
    }
    const worker_start call = make_worker_start(request, now);
    runs_.add(agent_run::admitted(call, heartbeats_.next_sequence()));
    return start_admitted{call};
}

void admission_controller::start_finished(const task_run& run, call_result result, boot_time now) {
    if (agent_run* const existing = runs_.find(run)) {
        existing->start_finished(result, now);
    }
}

void admission_controller::request_stop(shard_number shard, epoch_number epoch, const task_run& run,
                                        bool take_checkpoint) {
    agent_run* const existing = runs_.find(run);
    if (!accept_epoch(shard, epoch) || existing == nullptr || existing->report().shard != shard) {
        return;
    }
    existing->request_stop(take_checkpoint ? stop_request::with_checkpoint
                                           : stop_request::without_checkpoint);
}

std::uint64_t admission_controller::heartbeat_sent(const entry_id& entry, boot_time now) {
    runs_.retire(now);
    return heartbeats_.add(entry, now);
}

void admission_controller::reply_received(const owner_reply& reply, boot_time now) {
    const std::optional<boot_time> sent_at = heartbeats_.sent_at(reply.entry, reply.sequence, now);
    if (!sent_at) {
        return;
    }
    update_plan(reply, *sent_at);
    std::set<shard_number> granted_shards;
    for (const grant& granted : reply.grants) {
        if (accept_epoch(granted.shard, granted.epoch)) {
            granted_shards.insert(granted.shard);
        }
    }
    apply_run_decisions(reply, granted_shards, *sent_at);
    runs_.retire(now);
}

std::vector<worker_action> admission_controller::begin_due_actions(boot_time now) {
    std::vector<worker_action> result;
    for (auto& [id, run] : runs_.runs()) {
        if (const std::optional<worker_action> action = run.begin_due_action(terms_, now)) {
            result.push_back(*action);
        }
    }
    return result;
}

void admission_controller::action_finished(const worker_action& action, call_result result,
                                           const std::string& checkpoint, boot_time now) {
    if (agent_run* const existing = runs_.find(action.run)) {
        existing->action_finished(action, result, checkpoint, terms_, now);
        runs_.retire(now);
    }
}

refusal admission_controller::refusal_reason(const start_request& request, boot_time now) {
    const refusal reason = general_refusal_reason(now);
    if (reason != refusal::none) {
        return reason;
    }
    if (is_for_other_boot(request)) {
        return refusal::stale_incarnation;
    }
    const worker_start call = make_worker_start(request, now);
    if (call.lease_until <= now) {
        return refusal::grant_expired;
    }
    if (call.start_before <= now) {
        return refusal::plan_stale;
    }
    if (stop_earlier_attempts(call.run)) {
        return refusal::duplicate;
    }
    const bool has_capacity =
        is_non_negative(request.spec.need) && fits(request.spec.need, capacity_ - runs_.reserved());
    return has_capacity ? refusal::none : refusal::no_capacity;
}

refusal admission_controller::general_refusal_reason(boot_time now) const {
    if (!worker_known_) {
        return refusal::not_ready;
    }
    if (draining()) {
        return refusal::draining;
    }
    if (!plan_.is_fresh(now, terms_.plan_freshness_bound)) {
        return refusal::plan_stale;
    }
    return domain_in_service_ ? refusal::none : refusal::domain_out;
}

bool admission_controller::is_for_other_boot(const start_request& request) const {
    const bool names_other_boot =
        !request.worker_boot.empty() && request.worker_boot != worker_boot_;
    return names_other_boot || request.heartbeat_sequence < first_heartbeat_of_boot_;
}

/// Precondition: a plan was confirmed. Without a valid heartbeat the lease ends at `now`, which
/// makes the start too late.
worker_start admission_controller::make_worker_start(const start_request& request,
                                                     boot_time now) const {
    const std::optional<boot_time> sent_at =
        heartbeats_.sent_at(request.entry, request.heartbeat_sequence, now);
    const boot_time grant_end = sent_at ? *sent_at + terms_.grant_term : now;
    const boot_time plan_limit = plan_.confirmed_at().value_or(now) + terms_.start_before_bound;
    worker_start call;
    call.run = run_of(request);
    call.shard = request.shard;
    call.spec = request.spec;
    call.checkpoint = request.checkpoint;
    call.boot = worker_boot_;
    call.lease_until = grant_end;
    call.start_before = std::min(grant_end, plan_limit);
    return call;
}

start_decision admission_controller::answer_repeated_start(const agent_run& run) const {
    if (run.report().phase == run_phase::refused) {
        return start_refused{run.reason()};
    }
    return start_existing{run.report()};
}

bool admission_controller::accept_epoch(shard_number shard, epoch_number epoch) {
    if (epoch == 0) {
        return false;
    }
    epoch_number& highest = epochs_[shard];
    highest = std::max(highest, epoch);
    return epoch == highest;
}

bool admission_controller::stop_earlier_attempts(const task_run& run) {
    const std::vector<agent_run*> others = runs_.find_conflicting(run);
    for (agent_run* const other : others) {
        if (other->report().run.attempt < run.attempt) {
            other->request_stop(stop_request::without_checkpoint);
        }
    }
    return !others.empty();
}

void admission_controller::update_plan(const owner_reply& reply, boot_time sent_at) {
    if (!reply.plan_known || reply.plan_age < milliseconds(0) ||
        reply.plan_revision < plan_.revision()) {
        return;
    }
    // Keeps the subtraction below from overflowing. A plan of that age is never fresh, because the
    // freshness bound is much shorter.
    constexpr milliseconds max_plan_age = std::chrono::hours(24);
    plan_.confirm(reply.plan_revision, sent_at - std::min(reply.plan_age, max_plan_age));
    domain_in_service_ = reply.domain_in_service;
    vm_drained_ = reply.vm_drained;
}

void admission_controller::apply_run_decisions(const owner_reply& reply,
                                               const std::set<shard_number>& granted_shards,
                                               boot_time sent_at) {
    const std::set<task_run> stop(reply.stop.begin(), reply.stop.end());
    const std::set<task_run> acknowledged(reply.acknowledged.begin(), reply.acknowledged.end());
    for (auto& [id, run] : runs_.runs()) {
        if (!granted_shards.contains(run.report().shard) || !run.reported_in(reply.sequence)) {
            continue;
        }
        if (acknowledged.contains(id)) {
            run.acknowledge();
        }
        if (stop.contains(id)) {
            run.request_stop(stop_request::without_checkpoint);
        } else {
            run.extend_grant(sent_at + terms_.grant_term);
        }
    }
}

} // namespace egretstile
