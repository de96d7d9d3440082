#pragma once

#include <egretstile/core/base/boot_time.hpp>
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
#include <vector>

namespace egretstile {

/// A run that the leader has ordered or adopted from a report and whose end was not reported yet.
struct tracked_run {
    attempt_number attempt{0};
    vm_name vm;
    /// Number of the orders that contained the start; zero: the run was adopted from a report, or
    /// the agent has reconnected since.
    std::uint64_t order_number{0};
    boot_time started_at{};
    /// Started by this leader without a checkpoint, so that `started_at` is the start of the task.
    bool runs_whole_task{false};
    /// The runner has listed the run as active. Before that, its start may have been lost.
    bool was_listed{false};
    /// A stop has been ordered.
    bool stopping{false};
    /// The agent has, or has been sent, the attributes that interference control needs.
    bool attributes_known{false};
    /// When the stop was ordered last.
    boot_time stop_sent_at{};
    std::uint32_t percent{0};
    /// When `percent` last rose.
    boot_time progressed_at{};
};

struct job_task {
    task_progress progress;
    std::vector<tracked_run> runs;
    /// A run of the task was reported to this leader as active, so no VM that has not reported yet
    /// has another.
    bool located{false};
    /// After a failed run or a rejected start, the task is not started before this time.
    boot_time retry_at{};
    /// VM on which the task failed, stalled or was rejected last; another one is preferred.
    vm_name failed_on;
    /// VMs on which a run of the task ended as failed, as far as this leader knows.
    std::vector<vm_name> failed_vms;
    /// Until when a task with one attempt left waits for a proven VM; nothing: it does not wait.
    std::optional<boot_time> proof_wait_until;
    /// A run was stopped to move the task to the rack that holds its data; it is not moved again.
    bool moved_near{false};
};

/// One step of one occurrence.
struct step_state {
    std::vector<job_task> tasks;
    std::size_t done_count{0};
    /// Tasks that are neither done nor have a run.
    std::set<std::uint32_t> waiting;
    /// It was reported that a task of the step waits for room.
    bool waiting_recorded{false};
};

struct occurrence_state {
    /// Wall-clock time in milliseconds since 1970 from which it may start; zero: at once.
    std::int64_t due_ms{0};
    std::vector<step_state> steps;
    std::size_t done_steps{0};
};

/// A job and its state on the leader.
struct job_entry {
    job_spec spec;
    /// `queued` until a runner has listed a run of one of its tasks: an order alone starts nothing.
    job_state state{job_state::queued};
    std::vector<occurrence_state> occurrences;
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

    /// Null when the task does not exist.
    job_task* find_task(const task_ref& task);

    /// Jobs that are not final.
    const job_set& unfinished() const { return unfinished_; }

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
    std::map<job_id, std::unique_ptr<job_entry>> jobs_;
    job_set unfinished_;
    /// Jobs that are not stored in their latest version, oldest change first.
    std::deque<job_entry*> changed_;
};

/// Whether a run of one of the job's tasks is ordered or under way. Thread-safe.
bool has_runs(const job_entry& job);

/// Stored form of the job's progress. Thread-safe.
job_progress progress_of(const job_entry& job);

/// Whether all steps that `step` depends on are done in the occurrence. Preconditions: the
/// occurrence belongs to the job and the step exists. Thread-safe.
bool is_step_ready(const job_entry& job, const occurrence_state& occurrence, std::uint32_t step);

} // namespace egretstile
