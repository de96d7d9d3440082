#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

enum class job_state : std::uint8_t {
    queued, ///< No task has started.
    running,
    completed, ///< All tasks are done. Shown to callers only once it is stored.
    failed,    ///< A task used up its attempts. Shown to callers only once it is stored.
    cancelled
};

inline constexpr std::array<enum_name<job_state>, 5> job_state_names{
    {{job_state::queued, "queued"},
     {job_state::running, "running"},
     {job_state::completed, "completed"},
     {job_state::failed, "failed"},
     {job_state::cancelled, "cancelled"}}};

constexpr bool is_final(job_state state) {
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

/// The part of a task's state that is stored and survives a change of the leader.
struct task_progress {
    bool done{false};
    /// Attempts that ended as failed. Attempt numbers are stored instead of a count, because an end
    /// that the previous leader stored but did not acknowledge is reported again to the next one.
    std::vector<attempt_number> failed_attempts;
    /// Highest attempt number that is known to be in use or to have been used.
    attempt_number last_attempt{0};
    std::string checkpoint;

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// Numbers of consecutive occurrences of a job, both ends included.
struct occurrence_range {
    std::uint32_t first{0};
    std::uint32_t last{0};

    friend bool operator==(const occurrence_range&, const occurrence_range&) = default;
};

/// Attempts of one task that ended as failed.
struct task_failures {
    /// Number of the task in its step.
    std::uint32_t index{0};
    std::vector<attempt_number> attempts;

    friend bool operator==(const task_failures&, const task_failures&) = default;
};

/// What saves work when a task that has started is started again.
struct resume_point {
    /// Number of the task in its step.
    std::uint32_t index{0};
    attempt_number last_attempt{0};
    std::string checkpoint;

    friend bool operator==(const resume_point&, const resume_point&) = default;
};

/// Stored state of one step of an occurrence that is not done.
struct step_progress {
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    /// Bit K%8 of byte K/8 is set when task K is done; bytes without a set bit at the end are left
    /// out.
    std::vector<std::uint8_t> done;
    /// Tasks with failed attempts.
    std::vector<task_failures> failures;
    /// Tasks that are not done and have started.
    std::vector<resume_point> resume_points;

    friend bool operator==(const step_progress&, const step_progress&) = default;
};

/// The part of a job's state that the leader stores and that survives a change of the leader. All
/// but the state is empty in a final state: no task starts any more, and a new leader has to read
/// the jobs that became final in the last two minutes.
struct job_progress {
    job_state state{job_state::queued};
    /// Occurrences of which all tasks are done.
    std::vector<occurrence_range> done;
    /// Steps of other occurrences, as far as anything has to be stored for them.
    std::vector<step_progress> steps;
    /// All tasks, ordered by occurrence, step and index. Only in records of earlier releases, which
    /// are read but not written any more; then `done` and `steps` are empty.
    std::vector<task_progress> tasks;
};

/// Number of bytes by which resume points make the stored progress larger. Thread-safe.
std::size_t resume_point_bytes(const job_progress& progress);

} // namespace egretstile
