#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretstile {

/// What a run takes on its VM until its end is known.
struct vm_run {
    resources reserved;
    bool fills_idle_cpu{false};
    /// Serves its own users within a latency target.
    bool serves{false};
    /// How much processor time it takes at most, reserved or not.
    std::int64_t wanted_millicores{0};
    std::string image;
};

/// Serving tasks of one image on a VM.
struct serving_group {
    std::string image;
    /// Smallest headroom of the tasks without tasks that fill; see `pressure_model`.
    double own_headroom{0};
    /// What the tasks that fill on the VM are expected to take of it.
    double taken_headroom{0};
};

/// An end that has been taken in and must be stored before the runner may forget it.
struct unacknowledged_end {
    std::uint64_t number{0};
    task_ref task;
    /// Version of the job that holds the end; zero: nothing has to be stored.
    std::uint64_t job_version{0};
};

/// A VM as the leader knows it.
struct vm_state {
    vm_name name;
    runner_registration runner;
    /// Its agent reports to this leader and the runner's lists are known.
    bool usable{false};
    /// Until then the runs that were reported or ordered may go on without a word of the agent.
    boot_time may_run_until{};
    boot_time reported_at{};
    /// Since when its agent says that nothing runs there; zero: it does not.
    boot_time gone_since{};
    std::map<task_attempt, vm_run> runs;
    resources reserved;
    /// Processor time that runs which serve have reserved.
    std::int64_t serving_millicores{0};
    std::map<std::string, std::int64_t> serving_by_image;
    /// Processor time that the runs that fill would like to have, of each image and of all.
    std::map<std::string, std::int64_t> filling_by_image;
    std::int64_t filling_millicores{0};
    /// Processor time that serving tasks use for their users, as of the last report.
    double serving_use{0};
    /// One for each serving image, as of the last report; `taken_headroom` follows the runs.
    std::vector<serving_group> serving;
    /// Last report that was taken in on this connection.
    std::uint64_t taken_report{0};
    /// Number of the last message with orders on this connection.
    std::uint64_t orders_sent{0};
    /// Last end that was taken in, and last that may be forgotten.
    std::uint64_t taken_end{0};
    std::uint64_t acknowledged_end{0};
    std::deque<unacknowledged_end> unacknowledged;
    /// Failed runs since the last run that ended as done, and until when the VM is avoided.
    std::uint32_t failures_in_row{0};
    boot_time avoided_until{};

    /// Adds a run and its reservation, unless it is there.
    void add_run(const task_attempt& run, const vm_run& needs);
    /// Removes a run and its reservation; false when it was not there.
    bool remove_run(const task_attempt& run);
    /// Processor time that no run has reserved.
    std::int64_t free_millicores() const;
};

using vm_table = std::map<vm_name, vm_state>;

} // namespace egretstile
