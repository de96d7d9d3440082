#include "task/run_end.hpp"

namespace egretstile {

namespace {

void finish(task_record& record, task_state state, const std::string& outcome) {
    record.state = state;
    record.outcome = outcome;
}

void requeue(task_record& record, const std::string& checkpoint) {
    record.state = task_state::queued;
    if (!checkpoint.empty()) {
        record.checkpoint = checkpoint;
    }
}

void end_failed(task_record& record, const run_end& end, std::uint32_t max_failures) {
    ++record.failures;
    if (!record.spec.idempotent || record.failures >= max_failures) {
        finish(record, task_state::failed, end.detail);
        return;
    }
    requeue(record, end.checkpoint);
}

void end_checkpointed(task_record& record, const run_end& end) {
    ++record.evictions;
    // Without a checkpoint the next attempt would repeat work that was already done.
    if (end.checkpoint.empty() && !record.spec.idempotent) {
        finish(record, task_state::interrupted, "stopped without a checkpoint");
        return;
    }
    requeue(record, end.checkpoint);
}

void end_without_checkpoint(task_record& record, const run_end& end) {
    if (record.state == task_state::evicting) {
        ++record.evictions;
    }
    if (record.spec.idempotent) {
        requeue(record, end.checkpoint);
        return;
    }
    finish(record, task_state::interrupted, end.detail);
}

/// `state_if_idempotent` applies to an idempotent task. `state_if_grant_expired` applies to a
/// non-idempotent task whose grant has expired and whose worker may still have the run.
void end_with_unknown_progress(task_record& record, const run_end& end,
                               task_state state_if_idempotent, task_state state_if_grant_expired) {
    if (record.spec.idempotent) {
        finish(record, state_if_idempotent,
               state_if_idempotent == task_state::queued ? "" : end.detail);
    } else if (end.kind == run_end_kind::grant_expired) {
        record.state = state_if_grant_expired;
    } else {
        finish(record, task_state::interrupted, end.detail);
    }
}

bool has_unknown_progress(run_end_kind kind) {
    return kind == run_end_kind::worker_restarted || kind == run_end_kind::grant_expired ||
           kind == run_end_kind::abandoned;
}

void end_cancelled(task_record& record, const run_end& end) {
    if (has_unknown_progress(end.kind)) {
        end_with_unknown_progress(record, end, task_state::cancelled, task_state::cancelling);
        return;
    }
    finish(record, task_state::cancelled, end.detail);
}

} // namespace

run_end reported_end(const run_report& report) {
    switch (report.phase) {
    case run_phase::succeeded:
        return {run_end_kind::succeeded, {}, report.detail};
    case run_phase::failed:
        return {run_end_kind::failed, report.checkpoint, report.detail};
    case run_phase::checkpointed:
        return {run_end_kind::checkpointed, report.checkpoint, report.detail};
    case run_phase::refused:
        return {run_end_kind::never_started, {}, report.detail};
    case run_phase::stopped:
        return {run_end_kind::ended_without_checkpoint, report.checkpoint,
                "stopped without a checkpoint"};
    case run_phase::lease_expired:
    case run_phase::starting:
    case run_phase::running:
    case run_phase::suspended:
        break;
    }
    return {run_end_kind::ended_without_checkpoint, report.checkpoint,
            "ended when its lease expired"};
}

void apply_run_end(task_record& record, const run_end& end, std::uint32_t max_failures) {
    if (end.kind == run_end_kind::succeeded) {
        finish(record, task_state::succeeded, end.detail);
        return;
    }
    if (record.state == task_state::cancelling) {
        end_cancelled(record, end);
        return;
    }
    switch (end.kind) {
    case run_end_kind::succeeded:
        return;
    case run_end_kind::failed:
        end_failed(record, end, max_failures);
        return;
    case run_end_kind::checkpointed:
        end_checkpointed(record, end);
        return;
    case run_end_kind::ended_without_checkpoint:
        end_without_checkpoint(record, end);
        return;
    case run_end_kind::never_started:
        requeue(record, {});
        return;
    case run_end_kind::worker_restarted:
    case run_end_kind::grant_expired:
    case run_end_kind::abandoned:
        end_with_unknown_progress(record, end, task_state::queued, task_state::detached);
        return;
    }
}

} // namespace egretstile
