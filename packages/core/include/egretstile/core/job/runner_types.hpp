#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

/// What an agent tells of the task runner on its VM.
namespace egretstile {

/// How a run ended.
enum class run_outcome : std::uint8_t {
    done,
    failed,  ///< By the task's own fault or the runner's.
    stopped, ///< On an order.
    lapsed,  ///< Its lease ended.
    broken,  ///< Another member of its gang ended.
    alone    ///< The other members of its gang did not come in time.
};

inline constexpr std::array<enum_name<run_outcome>, 6> run_outcome_names{
    {{run_outcome::done, "done"},
     {run_outcome::failed, "failed"},
     {run_outcome::stopped, "stopped"},
     {run_outcome::lapsed, "lapsed"},
     {run_outcome::broken, "broken"},
     {run_outcome::alone, "alone"}}};

struct active_run {
    task_attempt run;
    /// Checkpoint from which the task could resume; empty: none.
    std::string checkpoint;
    /// Progress of the task, or, for a long-running task, how far it is with starting.
    std::uint32_t percent{0};
    /// Tail latency in milliseconds of a task that serves; millicores in use of any other.
    std::uint32_t load{0};
};

struct ended_run {
    /// Position in the runner's list of ends; rises during one life of the runner.
    std::uint64_t number{0};
    task_attempt run;
    run_outcome outcome{run_outcome::done};
    std::string checkpoint;
};

enum class runner_state : std::uint8_t {
    absent, ///< Not registered, or gone.
    ready,
    draining ///< It ends soon and takes nothing new.
};

inline constexpr std::array<enum_name<runner_state>, 3> runner_state_names{
    {{runner_state::absent, "absent"},
     {runner_state::ready, "ready"},
     {runner_state::draining, "draining"}}};

/// What a runner says of itself when it registers.
struct runner_registration {
    /// Identifies one life of the runner; a restarted runner has another one.
    std::string life;
    std::string service;
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    runner_state state{runner_state::absent};
    /// Least time that a draining runner stays.
    std::uint32_t drain_remaining_ms{0};
};

/// A run that is not on the runner and never will be.
struct rejected_run {
    task_attempt run;
    /// For the log.
    std::string reason;
};

} // namespace egretstile
