#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

enum class job_state : std::uint8_t {
    queued, ///< No task has started.
    running,
    completed, ///< All tasks have ended as done, and that is stored.
    failed,    ///< A task has failed too often, and that is stored.
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

/// What must survive of one task.
struct task_progress {
    bool done{false};
    /// Runs that ended as failed. Kept by number, because an end is reported again to a new leader
    /// when the old one had stored but not acknowledged it.
    std::vector<attempt_number> failed_attempts;
    /// Highest attempt number that is known to have been used.
    attempt_number last_attempt{0};
    std::string checkpoint;

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// What must survive of one job, as it is stored by the leader.
struct job_progress {
    job_state state{job_state::queued};
    /// All tasks: occurrences in order, in each the steps in order. Empty in a final state, in
    /// which no task starts any more: a new leader reads the final jobs of two minutes.
    std::vector<task_progress> tasks;
};

} // namespace egretstile
