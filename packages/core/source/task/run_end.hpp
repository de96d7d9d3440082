#pragma once

#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <string>

namespace egretstile {

/// How a run ended, as far as the owner of the task knows.
enum class run_end_kind : std::uint8_t {
    succeeded,
    failed,
    checkpointed, ///< Confirmed stop for an eviction; the checkpoint was taken at the stop.
    ended_without_checkpoint, ///< Confirmed end; no checkpoint was taken at the end.
    never_started,            ///< The run did not execute and will not execute.
    worker_restarted,         ///< The worker has a new boot id; how far the run came is unknown.
    grant_expired, ///< Does not execute unless granted again; how far the run came is unknown.
    abandoned      ///< `grant_expired`, and no report within `abandon_after` since.
};

/// End of a run, to be applied to the record of its task.
struct run_end {
    run_end_kind kind{run_end_kind::never_started};
    /// Checkpoint to resume from; when empty, the one in the record is used.
    std::string checkpoint;
    /// Result of a succeeded run, or the reason for another end.
    std::string detail;
};

/// The end of a run that its agent reported as ended. Precondition: `has_ended(report.phase)`.
/// Thread-safe.
run_end reported_end(const run_report& report);

/// Applies the end of the current run to the task's record: sets the next state, and the checkpoint
/// from which the next attempt resumes. A non-idempotent task is queued again only when the run
/// never started or has a checkpoint of its confirmed stop; hence its first failure is final. After
/// `grant_expired` a non-idempotent task becomes detached, or stays cancelling. Precondition:
/// `may_be_running(record.state)`. Thread-safe.
void apply_run_end(task_record& record, const run_end& end, std::uint32_t max_failures);

} // namespace egretstile
