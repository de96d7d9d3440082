#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/interference/pressure_model.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// What the leader's scheduler and the agents exchange.
namespace egretstile {

/// How a task runs; the agent needs it to start the task and to control interference.
struct start_order {
    task_attempt run;
    std::string payload;
    std::string checkpoint;
    /// The advisor's permission to run the step on this runner; empty: none is needed.
    std::string ticket;
    bool fills_idle_cpu{false};
    std::uint32_t target_latency_ms{0};
    /// Tasks of one image disturb others alike.
    std::string image;
    std::int64_t cpu_millicores{0};
};

/// The run as the interference control sees it. Thread-safe.
guarded_run guarded_run_of(const active_run& active, const start_order& attributes);

/// State of one VM, from its agent to the leader.
struct vm_report {
    vm_name vm;
    /// Numbers the reports of one agent process; never zero.
    std::uint64_t sequence{0};
    /// Highest leader epoch that the agent has accepted.
    epoch_number epoch{0};
    /// Orders of this leader that the agent has taken in on this connection.
    std::uint64_t orders_seen{0};
    runner_registration runner;
    /// False until the agent has read the runner's lists; then the lists below mean nothing.
    bool lists_known{false};
    /// The runner does not answer and its last lease has ended: nothing runs there.
    bool lapsed{false};
    std::vector<active_run> active;
    /// Starts that the runner has not answered yet.
    std::vector<task_attempt> starting;
    std::vector<ended_run> ended;
    std::vector<rejected_run> rejected;
    /// What the agent has learned, in the first report on a connection: a new leader knows nothing.
    std::vector<image_pressure> pressures;
};

/// From the leader to one agent.
struct vm_orders {
    epoch_number epoch{0};
    /// Report that these orders answer; zero: none. The agent may let tasks run until
    /// `permission_ms` after it sent that report.
    std::uint64_t answered_report{0};
    std::uint32_t permission_ms{0};
    /// Last report that the leader has taken in from this agent. A start that arrives after the
    /// permission of that report has ended comes too late: the leader may have given the VM up.
    std::uint64_t based_on_report{0};
    /// Counts the messages with starts or stops on this connection.
    std::uint64_t number{0};
    /// Life of the runner that the orders are for.
    std::string runner_life;
    /// Ends up to this number are stored; the runner may forget them.
    std::uint64_t acknowledged_ends{0};
    std::vector<start_order> starts;
    std::vector<task_attempt> stops;
    /// Reported runs whose attributes the agent does not know because it was restarted. Only the
    /// run and what matters for interference are filled.
    std::vector<start_order> attributes;
    /// What the leader has learned of the images on this VM and has not sent yet.
    std::vector<image_pressure> pressures;
};

} // namespace egretstile
