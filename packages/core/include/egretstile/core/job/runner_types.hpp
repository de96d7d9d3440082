#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

/// State of the task runner on a VM, as its agent reports it.
namespace egretstile {

/// How a run ended.
enum class run_outcome : std::uint8_t {
    done,
    failed,  ///< The task or the runner failed.
    stopped, ///< Stopped by an order.
    lapsed,  ///< Its lease ended.
    broken,  ///< Another member of its gang ended before its work was done.
    alone    ///< The other members of its gang did not start in time.
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
    /// Progress of the task in percent or, for a long-running task, progress of its start-up.
    std::uint32_t percent{0};
    /// For a serving task its tail latency in milliseconds, for any other the millicores in use.
    std::uint32_t load{0};
};

struct ended_run {
    /// Position in the runner's list of ends; increases until the runner is restarted.
    std::uint64_t number{0};
    task_attempt run;
    run_outcome outcome{run_outcome::done};
    std::string checkpoint;
};

enum class runner_state : std::uint8_t {
    absent, ///< Not registered, deregistered or unresponsive beyond its lease.
    ready,
    draining ///< It ends soon and accepts no new tasks.
};

inline constexpr std::array<enum_name<runner_state>, 3> runner_state_names{
    {{runner_state::absent, "absent"},
     {runner_state::ready, "ready"},
     {runner_state::draining, "draining"}}};

/// What shows that the process of a runner has ended, so that none of its runs goes on.
enum class runner_end_evidence : std::uint8_t {
    none,               ///< Nothing does; its runs may go on.
    lease_ended,        ///< It does not answer, and its last lease has ended.
    connection_refused, ///< Nothing listens at its address.
    other_instance      ///< Another process answers at its address.
};

inline constexpr std::array<enum_name<runner_end_evidence>, 4> runner_end_evidence_names{
    {{runner_end_evidence::none, "none"},
     {runner_end_evidence::lease_ended, "lease_ended"},
     {runner_end_evidence::connection_refused, "connection_refused"},
     {runner_end_evidence::other_instance, "other_instance"}}};

/// Properties of a runner, from its registration.
struct runner_registration {
    /// Identifies one process of the runner; changes when the runner is restarted.
    std::string instance;
    std::string service;
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    runner_state state{runner_state::absent};
    /// Least time for which a draining runner continues to run.
    std::uint32_t drain_remaining_ms{0};
};

/// A run that the runner does not have and will not start later.
struct rejected_run {
    task_attempt run;
    /// For the log.
    std::string reason;
};

} // namespace egretstile
