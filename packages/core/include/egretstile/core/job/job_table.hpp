#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/job_occurrences.hpp>
#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/operator_config.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

/// A job and its state on the leader.
struct job_entry {
    explicit job_entry(job_spec accepted)
        : spec(std::move(accepted))
        , occurrences(spec) {}

    job_spec spec;
    /// `queued` until a runner has listed a run of one of its tasks: an order alone starts nothing.
    job_state state{job_state::queued};
    job_occurrences occurrences;
    /// Increases with each change that has to be stored.
    std::uint64_t version{0};
    /// Latest version that is stored.
    std::uint64_t stored_version{0};
    /// A running task has a checkpoint, or the job has started, and `version` was not increased for
    /// it yet.
    bool has_unmarked_progress{false};
    /// When the final state was stored or, after a change of the leader, restored; nothing before.
    std::optional<boot_time> final_at;
    /// The queue's latest policy, kept when the queue is removed.
    queue_policy policy;
    /// Largest sum of estimated run times along a chain of dependent steps.
    milliseconds critical_path{0};
};

/// Orders jobs by id, so that decisions do not depend on where jobs are in memory.
struct job_id_order {
    bool operator()(const job_entry* left, const job_entry* right) const {
        return left->spec.id < right->spec.id;
    }
};

using job_set = std::set<job_entry*, job_id_order>;

/// Numbers of unfinished jobs of which no task has started.
struct unstarted_jobs {
    std::size_t all{0};
    /// Those with an ordered start that is neither confirmed nor rejected yet.
    std::size_t ordered{0};
};

/// The leader's table of the jobs of the deployment. Not thread-safe.
class job_table {
public:
    /// Adds an accepted job, or returns the known one of the same id. `policy` is null when the
    /// queue no longer exists; the policy at the time of acceptance then applies.
    job_entry& add(const job_spec& spec, const queue_policy* policy);

    /// Restores the stored progress of a job; tasks that are already known to be done stay done,
    /// and a job that is already final stays so and has to be stored unless `progress` is final.
    /// The retention of a job whose stored state is final begins at `now`, because the time at
    /// which it ended is not stored. Precondition: the job was not stored by this leader before.
    void restore(job_entry& job, const job_progress& progress, boot_time now);

    /// Null when the job is not known. Pointers stay valid until the job is removed.
    job_entry* find(const job_id& id);
    const job_entry* find(const job_id& id) const;

    /// Opens the task's occurrence when it is not open. Null when the task does not exist, or when
    /// its occurrence is closed: it is done, or the job is final.
    job_task* find_task(const task_ref& task);

    /// Jobs that are not final.
    const job_set& unfinished() const { return unfinished_; }

    /// Opens the occurrences of unfinished jobs that are due at `wall_ms` (milliseconds since
    /// 1970), and closes those that are done. A job has more than one open occurrence only as long
    /// as all jobs take no more than `memory_limit` bytes.
    void update_occurrences(std::int64_t wall_ms, std::size_t memory_limit);

    /// Memory that the jobs take, in bytes; at least one occurrence counts for each unfinished job.
    /// Checkpoints are not counted. Reads all jobs.
    std::size_t memory_bytes() const;

    /// When the next final job is removed by `final_before`, if final jobs are kept for
    /// `retention`; nothing when none is final. Reads all jobs.
    std::optional<boot_time> next_removal(milliseconds retention) const;

    /// Adds a run to the task. Precondition: the task's occurrence is open.
    static tracked_run& add_run(job_entry& job, const task_ref& task, tracked_run run);
    /// Removes the task's run with this attempt number on the VM; does nothing when there is none.
    void remove_run(const task_attempt& run, const vm_name& vm);
    /// Closes the task's occurrence if the job is final and no run of the occurrence is left.
    void close_if_final(const task_ref& task);

    /// Records that a runner has begun a task of the job, which is stored together with the next
    /// checkpoints. False when that was known.
    static bool mark_started(job_entry& job);
    /// Marks a task as done. Does nothing when it is already done. Precondition: the task exists.
    void mark_done(job_entry& job, const task_ref& task);
    /// Puts the job into a final state, unless it is already in one. Precondition: `state` is
    /// final.
    void finish(job_entry& job, job_state state);
    /// Increases the job's version, so that its progress is stored again.
    void mark_changed(job_entry& job);

    /// Up to `limit` jobs whose progress has to be stored, oldest change first.
    std::vector<job_entry*> changed(std::size_t limit) const;
    /// Records that the job was stored as of `version`.
    void mark_stored(job_entry& job, std::uint64_t version, boot_time now);

    /// Removes the job; does nothing when it is not known.
    void remove(const job_id& id);

    std::size_t size() const { return jobs_.size(); }

    /// Jobs whose final state was stored before `time`, and that have no change to be stored.
    /// `time` may be before the boot of the VM.
    std::vector<job_id> final_before(boot_time time) const;

    /// Number of jobs of the queue that have no schedule and of which no task has started.
    std::size_t pending(const std::string& queue) const;

    /// Unfinished jobs of which no task has started, scheduled ones included. Reads all unfinished
    /// jobs, so it is meant for display.
    unstarted_jobs count_unstarted() const;
    /// The same for the jobs of the queue that have no schedule.
    unstarted_jobs count_unstarted(const std::string& queue) const;

private:
    void restore_step(job_entry& job, const step_progress& stored);
    /// Restores all tasks as earlier releases stored them.
    void restore_tasks(job_entry& job, const std::vector<task_progress>& stored);

    std::map<job_id, std::unique_ptr<job_entry>> jobs_;
    job_set unfinished_;
    /// Jobs that are not stored in their latest version, oldest change first.
    std::deque<job_entry*> changed_;
};

/// Whether a run of one of the job's tasks is ordered or under way. Thread-safe.
bool has_runs(const job_entry& job);

/// Whether the specification has such a task. Thread-safe.
bool has_task(const job_spec& spec, const task_ref& task);

/// Stored form of the job's progress. Thread-safe.
job_progress progress_of(const job_entry& job);

/// Removes the largest resume points until the rest takes `max_bytes` or less, those of one gang
/// together, because all members of a gang resume from the same point. Thread-safe.
void limit_resume_points(job_progress& progress, const job_spec& spec, std::size_t max_bytes);

/// Whether all steps that `step` depends on are done in the occurrence. Preconditions: the
/// occurrence belongs to the job and the step exists. Thread-safe.
bool is_step_ready(const job_entry& job, const occurrence_state& occurrence, std::uint32_t step);

} // namespace egretstile
