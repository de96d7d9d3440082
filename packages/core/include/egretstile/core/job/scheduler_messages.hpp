#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/interference/pressure_model.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the leader's scheduler and the agents.
namespace egretstile {

/// A task to start and the attributes that the agent needs for interference control.
struct start_order {
    task_attempt run;
    std::string payload;
    std::string checkpoint;
    /// The advisor's approval to run the step on this runner; empty: none is needed.
    std::string ticket;
    bool fills_idle_cpu{false};
    std::uint32_t target_latency_ms{0};
    /// Interference is estimated by image: tasks of one image are expected to disturb others alike.
    std::string image;
    std::int64_t cpu_millicores{0};
};

/// Combines a reported run and its attributes into the input of the interference control.
/// Thread-safe.
guarded_run guarded_run_of(const active_run& active, const start_order& attributes);

/// State of one VM, from its agent to the leader.
struct vm_report {
    vm_name vm;
    /// Number of the report among those of one agent process; never zero.
    std::uint64_t sequence{0};
    /// Highest leader epoch that the agent has accepted.
    epoch_number epoch{0};
    /// Highest `vm_orders::number` that the agent has applied on this connection.
    std::uint64_t applied_order_number{0};
    runner_registration runner;
    /// Whether the agent has read the runner's lists lately. When false, the lists below must not
    /// be used.
    bool lists_known{false};
    /// Whether a run that is in none of the lists below is not on the runner. When false, ends may
    /// be missing that a later report contains.
    bool lists_complete{true};
    /// What shows that no task runs on the registered runner any more; `none`: tasks may run.
    runner_end_evidence runner_end{runner_end_evidence::none};
    std::vector<active_run> active;
    /// Starts that the runner has not answered yet. Also valid when the runner has ended or its
    /// lists are not known: its next process may carry them out.
    std::vector<task_attempt> starting;
    std::vector<ended_run> ended;
    std::vector<rejected_run> rejected;
    /// The agent's estimates of the pressure between images, in the first report on a connection,
    /// because a new leader has none.
    std::vector<image_pressure> pressures;
    /// Number of runs of the runner's present instance that ended as done and as failed within the
    /// last 10 s, because a new leader knows no earlier ends.
    std::uint32_t recent_done{0};
    std::uint32_t recent_failed{0};
    /// Runs may go on for this long without a permission, because a late call to a former process
    /// of the runner may have lengthened their lease; zero: no longer than the permission.
    std::uint32_t late_lease_ms{0};

    /// Whether the registered runner has ended. Thread-safe.
    bool has_runner_ended() const { return runner_end != runner_end_evidence::none; }
};

/// Orders from the leader to one agent.
struct vm_orders {
    epoch_number epoch{0};
    /// Number of the agent's process in the fence of its calls to the runner; see `runner_fence`.
    std::uint32_t agent_number{0};
    /// Report that these orders answer; zero: none. Tasks may run until `permission_ms` after the
    /// agent sent that report.
    std::uint64_t answered_report{0};
    std::uint32_t permission_ms{0};
    /// Last report of this agent that the leader has applied. The agent rejects a start that it
    /// would send more than `start_within_ms` after that report: the leader may have given up the
    /// runs on the VM by then, or the failure domain may have been closed.
    std::uint64_t based_on_report{0};
    std::uint32_t start_within_ms{0};
    /// Number of messages with starts or stops on this connection, including this one.
    std::uint64_t number{0};
    /// Identifies the runner process that the orders are for; see `runner_registration`.
    std::string runner_instance;
    /// The runner may forget ends up to this number, because they are stored.
    std::uint64_t acknowledged_ends{0};
    std::vector<start_order> starts;
    std::vector<task_attempt> stops;
    /// Attributes of reported runs, for an agent that may have lost them by a restart. Only `run`
    /// and the fields for interference control are set.
    std::vector<start_order> attributes;
    /// The leader's estimates of the pressure between the images on this VM that are new to the
    /// agent.
    std::vector<image_pressure> pressures;
};

} // namespace egretstile
