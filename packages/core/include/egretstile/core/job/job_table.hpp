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

/// A run that the leader has ordered or adopted and whose end it has not seen.
struct tracked_run {
    attempt_number attempt{0};
    vm_name vm;
    /// Number of the orders that carried the start; zero: it was reported by the agent.
    std::uint64_t order_number{0};
    boot_time started_at{};
    /// The runner has listed it.
    bool seen_active{false};
    /// A stop has been ordered.
    bool stopping{false};
    /// The agent knows how the run has to be treated beside others.
    bool attributes_known{false};
    /// When the stop was sent last.
    boot_time stop_sent_at{};
    std::uint32_t percent{0};
    /// When `percent` last rose.
    boot_time progressed_at{};
};

struct job_task {
    task_progress progress;
    std::vector<tracked_run> runs;
    /// This leader has seen the task's run under way, so no VM that is still silent has another.
    bool located{false};
    /// Not before this time, after a failure or a rejection.
    boot_time retry_at{};
    /// VM on which the task failed last; avoided when there is another.
    vm_name failed_on;
};

/// One step of one occurrence.
struct step_state {
    std::vector<job_task> tasks;
    std::size_t done_count{0};
    /// Tasks that are neither done nor have a run.
    std::set<std::uint32_t> waiting;
    /// The log says that a task of the step waits for room.
    bool waiting_noted{false};
};

struct occurrence_state {
    /// Wall-clock time from which it may start; zero: at once.
    std::int64_t due_ms{0};
    std::vector<step_state> steps;
    std::size_t done_steps{0};
};

/// A job as the leader follows it.
struct job_entry {
    job_spec spec;
    job_state state{job_state::queued};
    std::vector<occurrence_state> occurrences;
    /// Rises with each change that has to be stored.
    std::uint64_t version{0};
    std::uint64_t stored_version{0};
    /// A running task has a checkpoint that is not in the version above.
    bool has_new_checkpoint{false};
    /// When the final state was stored.
    boot_time final_at{};
    /// From the queue's policy, kept when the queue is removed.
    queue_policy policy;
    /// Longest chain of estimated run times.
    milliseconds chain{0};
};

/// The jobs of the deployment as the leader knows them. Not thread-safe.
class job_table {
public:
    /// Adds an accepted job unless it is known; `policy` may be null when its queue is gone.
    job_entry& add(const job_spec& spec, const queue_policy* policy);

    /// Takes over stored progress of a known job; what is already known is kept. A final job is
    /// kept from `now` on, because the time at which it ended is not stored.
    void restore(job_entry& job, const job_progress& progress, boot_time now);

    /// Null when the job is not known. Pointers stay valid until the job is removed.
    job_entry* find(const job_id& id);
    const job_entry* find(const job_id& id) const;

    /// Null when the task does not exist.
    job_task* find_task(const task_ref& task);

    /// Jobs that are not final, in no particular order.
    const std::set<job_entry*>& unfinished() const { return unfinished_; }

    /// Records the end of a task's work.
    void mark_done(job_entry& job, const task_ref& task);
    /// Makes the job final. Precondition: `state` is final.
    void finish(job_entry& job, job_state state);
    /// The job has to be stored again.
    void mark_changed(job_entry& job);

    /// What has to be stored, up to `limit` jobs, oldest change first.
    std::vector<job_entry*> changed(std::size_t limit) const;
    /// The job was stored as it was at `version`.
    void mark_stored(job_entry& job, std::uint64_t version, boot_time now);

    void remove(const job_id& id);

    std::size_t size() const { return jobs_.size(); }

    /// Jobs that became final before `time` and are stored.
    std::vector<job_id> final_before(boot_time time) const;

    /// Accepted jobs of the queue without times of which no task has started.
    std::size_t pending(const std::string& queue) const;

private:
    std::map<job_id, std::unique_ptr<job_entry>> jobs_;
    std::set<job_entry*> unfinished_;
    std::deque<job_entry*> changed_;
};

/// Stored form of the job's progress. Thread-safe.
job_progress progress_of(const job_entry& job);

/// Whether the steps before `step` are done. Precondition: both numbers exist. Thread-safe.
bool is_step_ready(const job_entry& job, const occurrence_state& occurrence, std::uint32_t step);

} // namespace egretstile
