#include "task/run_end.hpp"

#include <egretstile/core/task/shard_ledger.hpp>

#include <algorithm>
#include <utility>

namespace egretstile {

namespace {

/// Whether the owner waits until the agent confirms a start or stop command.
bool awaits_confirmation(task_state state) {
    return state == task_state::starting || state == task_state::evicting ||
           state == task_state::cancelling;
}

} // namespace

shard_ledger::shard_ledger(const shard_record& record, boot_time unreported_runs_end,
                           const lease_terms& terms, const ledger_limits& limits, boot_time now)
    : terms_(terms)
    , limits_(limits)
    , now_(now)
    , last_tick_(now)
    , earliest_grant_expiry_(unreported_runs_end)
    , commits_(record) {
    for (const task_record& task : record.tasks) {
        restore_task(task, unreported_runs_end);
    }
}

void shard_ledger::restore_task(const task_record& record, boot_time unreported_runs_end) {
    tracked_task& task = tasks_.add(record);
    task.start_sent = may_be_running(record.state);
    task.granted_until = unreported_runs_end;
    // Applies to all states: a start command that a former owner sent for an earlier attempt may
    // still be valid, so the end of that attempt must not be acknowledged before this time.
    task.start_valid_until = unreported_runs_end;
    if (record.state == task_state::detached) {
        task.grant_expired_at = now_;
    }
    tasks_.update(task, wall_now_ms_);
}

submit_result shard_ledger::submit(const task_spec& spec, std::int64_t wall_now_ms) {
    wall_now_ms_ = wall_now_ms;
    const tracked_task* const existing = tasks_.find(spec.key);
    if (existing != nullptr) {
        if (!(existing->record.spec == spec)) {
            return submit_result::conflict;
        }
        return find_committed(spec.key) == nullptr ? submit_result::pending
                                                   : submit_result::already_committed;
    }
    task_record record;
    record.spec = spec;
    record.accepted_at_ms = wall_now_ms;
    if (tasks_.size() >= limits_.max_tasks ||
        tasks_.bytes() + task_table::estimated_bytes(record) > limits_.max_bytes) {
        return submit_result::full;
    }
    register_change(tasks_.add(record));
    return submit_result::pending;
}

bool shard_ledger::cancel(const task_key& key) {
    tracked_task* const task = tasks_.find(key);
    if (task == nullptr) {
        return false;
    }
    const task_state state = task->record.state;
    if (state == task_state::cancelling || has_finished(state)) {
        return true;
    }
    if (may_be_running(state) && task->start_sent) {
        task->record.state = task_state::cancelling;
        task->command_sent_at.reset();
    } else {
        task->record.state = task_state::cancelled;
        task->record.outcome = "cancelled before a start";
    }
    register_change(*task);
    return true;
}

const task_record* shard_ledger::find_committed(const task_key& key) const {
    return commits_.find(key);
}

const task_record* shard_ledger::find(const task_key& key) const {
    const tracked_task* const task = tasks_.find(key);
    return task == nullptr ? nullptr : &task->record;
}

std::vector<const task_record*> shard_ledger::queued() const {
    std::vector<const task_record*> records;
    records.reserve(tasks_.queued().size());
    for (const task_index::value_type& row : tasks_.queued()) {
        records.push_back(&row.second->record);
    }
    return records;
}

void shard_ledger::assign(const task_key& key, const vm_name& vm, incarnation_number incarnation,
                          const std::string& worker_boot, boot_time now) {
    now_ = std::max(now_, now);
    tracked_task* const task = tasks_.find(key);
    if (task == nullptr || task->record.state != task_state::queued) {
        return;
    }
    task->record.state = task_state::starting;
    ++task->record.attempt;
    task->record.vm = vm;
    task->record.incarnation = incarnation;
    task->record.worker_boot = worker_boot;
    task->record.outcome.clear();
    task->start_sent = false;
    task->run_reported = false;
    task->granted_until = now_ + grant_term_with_margin();
    task->command_sent_at.reset();
    task->grant_expired_at.reset();
    register_change(*task);
}

void shard_ledger::evict(const task_key& key) {
    tracked_task* const task = tasks_.find(key);
    if (task == nullptr || task->record.state != task_state::running) {
        return;
    }
    task->record.state = task_state::evicting;
    task->command_sent_at.reset();
    register_change(*task);
}

void shard_ledger::park(const task_key& key, const std::string& reason) {
    tracked_task* const task = tasks_.find(key);
    if (task == nullptr || task->record.state != task_state::queued) {
        return;
    }
    task->record.state = task_state::parked;
    task->record.outcome = reason;
    register_change(*task);
}

void shard_ledger::unpark(const task_key& key) {
    tracked_task* const task = tasks_.find(key);
    if (task == nullptr || task->record.state != task_state::parked) {
        return;
    }
    task->record.state = task_state::queued;
    task->record.outcome.clear();
    register_change(*task);
}

observation_answer shard_ledger::observe(const vm_observation& observation, boot_time now) {
    now_ = std::max(now_, now);
    observation_answer answer;
    const bool stale = is_stale(observation);
    if (!observation.worker_known) {
        return answer;
    }
    std::set<const tracked_task*> listed;
    for (const run_report& report : observation.runs) {
        tracked_task* const task = find_run(observation.vm, report.run);
        // A refusal on a later worker boot does not show whether the run executed on the earlier
        // boot.
        const bool is_conclusive = report.phase != run_phase::refused || task == nullptr ||
                                   observation.worker_boot == task->record.worker_boot;
        if (task != nullptr && !stale && is_conclusive) {
            listed.insert(task);
            apply_report(*task, report);
        }
        answer_report(observation.vm, report, answer);
    }
    if (!stale) {
        handle_unlisted_runs(observation, listed);
    }
    return answer;
}

void shard_ledger::apply_start_answer(const vm_name& vm, const run_report& report, boot_time now) {
    now_ = std::max(now_, now);
    tracked_task* const task = find_run(vm, report.run);
    if (task == nullptr) {
        return;
    }
    // An earlier copy of the start command may have run on a previous worker boot whose runs the
    // agent no longer knows. The next heartbeat lists the refusal together with the worker boot.
    if (report.phase != run_phase::refused || task->record.spec.idempotent) {
        apply_report(*task, report);
    }
}

void shard_ledger::tick(boot_time now, std::int64_t wall_now_ms) {
    now_ = std::max(now_, now);
    wall_now_ms_ = wall_now_ms;
    // A gap this long contains two heartbeats of each agent; a shorter one is only a late call.
    if (now_ - last_tick_ > 2 * terms_.heartbeat_interval) {
        earliest_grant_expiry_ = std::max(earliest_grant_expiry_, now_ + grant_term_with_margin());
    }
    last_tick_ = now_;
    // Advances the iterator first, because the task may be removed from the index below.
    for (task_index::const_iterator row = tasks_.active().begin(); row != tasks_.active().end();) {
        tracked_task& task = *row->second;
        ++row;
        end_run_if_expired(task);
        schedule_resend(task);
    }
    set_missing_finish_times();
    remove_expired_finished_tasks(wall_now_ms);
}

shard_record shard_ledger::snapshot() const {
    return commits_.snapshot(tasks_);
}

std::optional<ledger_commit> shard_ledger::begin_commit() {
    return commits_.begin_write(tasks_);
}

void shard_ledger::commit_confirmed(std::uint64_t number, boot_time now) {
    now_ = std::max(now_, now);
    for (const task_key& key : commits_.confirm(number)) {
        committed_keys_.insert(key);
        due_keys_.insert(key);
    }
}

void shard_ledger::commit_failed(std::uint64_t number) {
    commits_.fail(number);
}

std::vector<ledger_command> shard_ledger::take_commands() {
    std::vector<ledger_command> commands;
    const std::set<task_key> due_keys = std::move(due_keys_);
    due_keys_.clear();
    for (const task_key& key : due_keys) {
        tracked_task* const task = tasks_.find(key);
        if (task == nullptr) {
            continue;
        }
        std::optional<ledger_command> command = command_for(*task);
        if (command) {
            task->command_sent_at = now_;
            commands.push_back(std::move(*command));
        }
    }
    return commands;
}

std::vector<task_key> shard_ledger::take_committed_keys() {
    std::vector<task_key> keys(committed_keys_.begin(), committed_keys_.end());
    committed_keys_.clear();
    return keys;
}

tracked_task* shard_ledger::find_run(const vm_name& vm, const task_run& run) {
    tracked_task* const task = tasks_.find(run.key);
    const bool current = task != nullptr && may_be_running(task->record.state) &&
                         task->record.attempt == run.attempt && task->record.vm == vm;
    return current ? task : nullptr;
}

void shard_ledger::register_change(tracked_task& task) {
    tasks_.update(task, wall_now_ms_);
    commits_.mark_changed(task.record.spec.key);
}

void shard_ledger::end_run(tracked_task& task, const run_end& end) {
    apply_run_end(task.record, end, limits_.max_failures);
    register_change(task);
}

bool shard_ledger::is_stale(const vm_observation& observation) {
    const latest_heartbeat received{observation.worker_known, observation.incarnation,
                                    observation.sequence, observation.worker_boot};
    latest_heartbeat& stored = latest_heartbeats_.emplace(observation.vm, received).first->second;
    if (std::pair(received.incarnation, received.sequence) <
        std::pair(stored.incarnation, stored.sequence)) {
        return true;
    }
    stored = received;
    return false;
}

void shard_ledger::apply_report(tracked_task& task, const run_report& report) {
    task.start_sent = true;
    if (!has_ended(report.phase)) {
        apply_unfinished_report(task, report);
        return;
    }
    // A run that executed cannot have been refused. Such a report comes from an agent that refused
    // a start command before it had read the runs of its worker.
    const bool executed =
        task.record.state == task_state::running || task.record.state == task_state::evicting;
    if (report.phase != run_phase::refused || !executed) {
        end_run(task, reported_end(report));
    }
}

void shard_ledger::apply_unfinished_report(tracked_task& task, const run_report& report) {
    task.run_reported = true;
    task.grant_expired_at.reset();
    task_record& record = task.record;
    const bool executes = report.phase != run_phase::starting;
    bool changed = false;
    if (record.state == task_state::detached ||
        (record.state == task_state::starting && executes)) {
        record.state = executes ? task_state::running : task_state::starting;
        changed = true;
    }
    // A non-idempotent task resumes only from the checkpoint of a confirmed stop.
    if (record.spec.idempotent && !report.checkpoint.empty() &&
        report.checkpoint != record.checkpoint) {
        record.checkpoint = report.checkpoint;
        changed = true;
    }
    if (changed) {
        register_change(task);
    }
}

void shard_ledger::handle_unlisted_runs(const vm_observation& observation,
                                        const std::set<const tracked_task*>& listed) {
    const task_index& on_vm = tasks_.active_on(observation.vm);
    // Advances the iterator first, because the task may be removed from the index below.
    for (task_index::const_iterator row = on_vm.begin(); row != on_vm.end();) {
        tracked_task& task = *row->second;
        ++row;
        if (!listed.contains(&task)) {
            handle_unlisted_run(task, observation);
        }
    }
}

void shard_ledger::handle_unlisted_run(tracked_task& task, const vm_observation& observation) {
    const task_record& record = task.record;
    if (observation.incarnation < record.incarnation) {
        return;
    }
    if (observation.worker_boot != record.worker_boot) {
        if (!task.start_sent) {
            end_run(task, {run_end_kind::never_started, {}, "never started"});
        } else if (now_ > task.start_valid_until) {
            end_run(task, {run_end_kind::worker_restarted, {}, "the worker restarted"});
        }
        return;
    }
    if (observation.incarnation > record.incarnation) {
        end_run(task, {run_end_kind::never_started, {}, "never started"});
        return;
    }
    handle_unlisted_by_same_agent(task);
}

void shard_ledger::handle_unlisted_by_same_agent(tracked_task& task) {
    if (!task.start_sent) {
        // The VM reports; only the commit of the start is slow, so the assignment stays.
        task.granted_until = std::max(task.granted_until, now_ + grant_term_with_margin());
        return;
    }
    if (task.record.state == task_state::detached) {
        // The agent has not received the start command, so it is sent again with the same attempt.
        // If an earlier copy arrives as well, the agent recognises the run by key and attempt.
        task.record.state = task_state::starting;
        task.run_reported = false;
        task.granted_until = now_ + grant_term_with_margin();
        task.grant_expired_at.reset();
        task.command_sent_at.reset();
        register_change(task);
        return;
    }
    // The list may have been made before the start command arrived at the agent. It proves that the
    // run does not exist only when one more grant term has passed since starts became invalid.
    if (task.record.state == task_state::cancelling && !task.run_reported &&
        now_ > task.start_valid_until + grant_term_with_margin()) {
        end_run(task, {run_end_kind::never_started, {}, "cancelled before a start"});
    }
}

void shard_ledger::answer_report(const vm_name& vm, const run_report& report,
                                 observation_answer& answer) {
    if (has_ended(report.phase)) {
        if (may_acknowledge(vm, report.run)) {
            answer.acknowledged.push_back(report.run);
        }
        return;
    }
    tracked_task* const task = find_run(vm, report.run);
    if (task == nullptr) {
        // Applies also when the end of the run is not committed yet: the next attempt may be
        // assigned in the same commit, so the run must not be granted again.
        answer.stop.push_back(report.run);
        return;
    }
    task->granted_until = std::max(task->granted_until, now_ + grant_term_with_margin());
}

bool shard_ledger::may_acknowledge(const vm_name& vm, const task_run& run) const {
    const tracked_task* const task = tasks_.find(run.key);
    if (task != nullptr && now_ <= task->start_valid_until) {
        // The agent forgets an acknowledged run, so it would admit a delayed start command of it.
        return false;
    }
    const task_record* const record = find_committed(run.key);
    if (record == nullptr) {
        return true;
    }
    const bool is_current =
        may_be_running(record->state) && record->attempt == run.attempt && record->vm == vm;
    return record->attempt >= run.attempt && !is_current;
}

void shard_ledger::end_run_if_expired(tracked_task& task) {
    if (now_ <= std::max(task.granted_until, earliest_grant_expiry_)) {
        return;
    }
    if (!task.start_sent) {
        end_run(task, {run_end_kind::never_started, {}, "never started"});
    } else if (!task.grant_expired_at) {
        task.grant_expired_at = now_;
        end_run(task, {run_end_kind::grant_expired, {}, "the VM fell silent"});
    } else if (now_ >= *task.grant_expired_at + terms_.abandon_after) {
        end_run(task, {run_end_kind::abandoned, {}, "the VM stayed silent"});
    }
}

void shard_ledger::schedule_resend(const tracked_task& task) {
    const bool needs_resend = awaits_confirmation(task.record.state) &&
                              !(task.record.state == task_state::starting && task.run_reported);
    if (needs_resend &&
        (!task.command_sent_at || now_ - *task.command_sent_at >= limits_.resend_after)) {
        due_keys_.insert(task.record.spec.key);
    }
}

void shard_ledger::set_missing_finish_times() {
    const task_index without_finish_time = tasks_.without_finish_time();
    for (const task_index::value_type& row : without_finish_time) {
        register_change(*row.second);
    }
}

void shard_ledger::remove_expired_finished_tasks(std::int64_t wall_now_ms) {
    const std::int64_t retained_since_ms = wall_now_ms - limits_.final_retention.count();
    for (tracked_task* task = tasks_.oldest_finished();
         task != nullptr && task->record.finished_at_ms <= retained_since_ms;
         task = tasks_.oldest_finished()) {
        const task_record* const committed = find_committed(task->record.spec.key);
        if (committed == nullptr || !has_finished(committed->state)) {
            return;
        }
        commits_.mark_changed(task->record.spec.key);
        tasks_.erase(*task);
    }
}

std::optional<ledger_command> shard_ledger::command_for(tracked_task& task) {
    const task_record& record = task.record;
    const task_record* const committed = find_committed(record.spec.key);
    if (committed == nullptr || committed->state != record.state ||
        committed->attempt != record.attempt) {
        return std::nullopt;
    }
    if (record.state == task_state::evicting || record.state == task_state::cancelling) {
        return stop_command{
            record.vm, {record.spec.key, record.attempt}, record.state == task_state::evicting};
    }
    if (record.state != task_state::starting || task.run_reported || !can_send_start(record)) {
        return std::nullopt;
    }
    task.start_sent = true;
    task.granted_until = std::max(task.granted_until, now_ + grant_term_with_margin());
    task.start_valid_until = std::max(task.start_valid_until, now_ + grant_term_with_margin());
    return start_command{record.vm, record.incarnation, record.spec, record.attempt,
                         record.checkpoint};
}

bool shard_ledger::can_send_start(const task_record& record) const {
    const std::map<vm_name, latest_heartbeat>::const_iterator heartbeat =
        latest_heartbeats_.find(record.vm);
    return heartbeat != latest_heartbeats_.end() && heartbeat->second.worker_known &&
           heartbeat->second.incarnation == record.incarnation &&
           heartbeat->second.worker_boot == record.worker_boot;
}

} // namespace egretstile
