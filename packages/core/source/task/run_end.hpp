#pragma once

#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <string>

namespace egretstile {

/// What the owner of a task knows about the end of its run.
enum class run_end_kind : std::uint8_t {
    succeeded,
    failed,
    checkpointed,  ///< Confirmed stop with a checkpoint taken at the stop.
    cut_off,       ///< Confirmed end without a checkpoint of the stop.
    never_started, ///< The run did not execute and will not.
    worker_lost,   ///< The worker has a new boot id; how far the run came is unknown.
    grant_over,    ///< Does not execute without a new grant; how far the run came is unknown.
    abandoned      ///< `grant_over`, and the VM stayed silent for `abandon_after`.
};

struct run_end {
    run_end_kind kind{run_end_kind::never_started};
    /// Checkpoint to resume from; empty: the one in the record.
    std::string checkpoint;
    /// Result or reason.
    std::string detail;
};

/// End of a run that its agent reported. Precondition: `has_ended(report.phase)`. Thread-safe.
run_end reported_end(const run_report& report);

/// Applies the end of the current run to the task's record: the next state, and what the next
/// attempt resumes from. A non-idempotent task is queued again only when the run never started or
/// has a checkpoint of its confirmed stop; so also its first failure is final. After `grant_over`
/// it becomes detached, or stays cancelling. Precondition: `may_be_running(record.state)`.
/// Thread-safe.
void apply_run_end(task_record& record, const run_end& end, std::uint32_t max_failures);

} // namespace egretstile
