#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <boost/icl/interval_set.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
    /// Number of tracked runs of its tasks.
    std::size_t run_count{0};

    bool is_done() const { return done_steps == steps.size(); }
};

/// The occurrences of one job. Only open occurrences have state: an occurrence is opened when it is
/// due or when a run of it is reported, and closed when it is done and none of its runs is left.
/// The numbers of closed occurrences are kept as ranges, so that a schedule needs memory for the
/// occurrences that are under way only. Not thread-safe. Precondition of the methods that take a
/// specification: it is the one of the job.
class job_occurrences {
public:
    using container = std::map<std::uint32_t, occurrence_state>;

    /// A job without a schedule has one occurrence, which is open from the beginning.
    explicit job_occurrences(const job_spec& spec);

    /// The open occurrences by number. References stay valid until the occurrence is closed.
    container::iterator begin() { return open_.begin(); }

    container::iterator end() { return open_.end(); }

    container::const_iterator begin() const { return open_.begin(); }

    container::const_iterator end() const { return open_.end(); }

    /// Number of open occurrences.
    std::size_t size() const { return open_.size(); }

    /// Precondition: the occurrence is open.
    occurrence_state& operator[](std::uint32_t number) { return open_.at(number); }

    const occurrence_state& operator[](std::uint32_t number) const { return open_.at(number); }

    /// Opens the occurrence unless it is open. Null when the job has no such occurrence, or when it
    /// is closed.
    occurrence_state* open(const job_spec& spec, std::uint32_t number);
    /// Opens the occurrences that are due at `wall_ms` (milliseconds since 1970) in their order, up
    /// to `max_open_occurrences` and `max_more` at a time, but at least one if none is open.
    /// Returns how many were opened.
    std::size_t open_due(const job_spec& spec, std::int64_t wall_ms, std::size_t max_more);
    /// Closes the occurrences that are done and have no tracked run.
    void close_done();
    /// Closes all occurrences without a tracked run, whose tasks no longer matter. Precondition:
    /// the job is in a final state.
    void close_idle();
    /// Closes the occurrence if it has no tracked run; does nothing when it is not open.
    /// Precondition: as `close_idle`.
    void close_if_idle(std::uint32_t number);

    /// Whether all occurrences of the job are done.
    bool all_done() const;

    /// The first occurrence that has not been opened; nothing when all have been.
    std::optional<std::uint32_t> next() const;

    /// The occurrences that are done, in ascending order.
    std::vector<occurrence_range> done() const;
    /// Closes the occurrences in `ranges`; numbers that the job does not have are ignored.
    void restore_done(const std::vector<occurrence_range>& ranges);

private:
    using number_set = boost::icl::interval_set<std::uint32_t>;

    void skip_known();

    std::uint32_t count_;
    container open_;
    number_set closed_;
    /// All occurrences before this one are open or closed.
    std::uint32_t next_{0};
};

/// Wall-clock time in milliseconds since 1970 at which the occurrence is due; zero: at once.
/// Thread-safe.
std::int64_t due_time_ms(const job_spec& spec, std::uint32_t occurrence);

} // namespace egretstile
