#include "task/run_end.hpp"

namespace egretstile {

namespace {

void finish(task_record& record, task_state state, const std::string& outcome) {
    record.state = state;
    record.outcome = outcome;
}

void queue_again(task_record& record, const std::string& checkpoint) {
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
    queue_again(record, end.checkpoint);
}

void end_checkpointed(task_record& record, const run_end& end) {
    ++record.evictions;
    // Without a checkpoint the next attempt would repeat the work from its beginning.
    if (end.checkpoint.empty() && !record.spec.idempotent) {
        finish(record, task_state::interrupted, "stopped without a checkpoint");
        return;
    }
    queue_again(record, end.checkpoint);
}

void end_cut_off(task_record& record, const run_end& end) {
    if (record.state == task_state::evicting) {
        ++record.evictions;
    }
    if (record.spec.idempotent) {
        queue_again(record, end.checkpoint);
        return;
    }
    finish(record, task_state::interrupted, end.detail);
}

/// `silent`: the state of a non-idempotent task whose worker may still hold the run.
void end_unknown(task_record& record, const run_end& end, task_state idempotent,
                 task_state silent) {
    if (record.spec.idempotent) {
        finish(record, idempotent, idempotent == task_state::queued ? "" : end.detail);
    } else if (end.kind == run_end_kind::grant_over) {
        record.state = silent;
    } else {
        finish(record, task_state::interrupted, end.detail);
    }
}

bool is_unknown(run_end_kind kind) {
    return kind == run_end_kind::worker_lost || kind == run_end_kind::grant_over ||
           kind == run_end_kind::abandoned;
}

void end_cancelled(task_record& record, const run_end& end) {
    if (is_unknown(end.kind)) {
        end_unknown(record, end, task_state::cancelled, task_state::cancelling);
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
        return {run_end_kind::cut_off, report.checkpoint, "stopped without a checkpoint"};
    case run_phase::lease_expired:
    case run_phase::starting:
    case run_phase::running:
    case run_phase::suspended:
        break;
    }
    return {run_end_kind::cut_off, report.checkpoint, "ended when its lease expired"};
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
    case run_end_kind::cut_off:
        end_cut_off(record, end);
        return;
    case run_end_kind::never_started:
        queue_again(record, {});
        return;
    case run_end_kind::worker_lost:
    case run_end_kind::grant_over:
    case run_end_kind::abandoned:
        end_unknown(record, end, task_state::queued, task_state::detached);
        return;
    }
}

} // namespace egretstile
