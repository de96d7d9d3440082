#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/runner_health.hpp>
#include <egretstile/core/job/runner_types.hpp>
#include <egretstile/core/job/start_pacing.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretstile {

/// Resources that are counted for a run on its VM until its end is reported.
struct vm_run {
    resources reserved;
    bool fills_idle_cpu{false};
    /// The task is a serving task: it serves its own users within a latency target.
    bool serves{false};
    /// Most processor time that it uses, reserved or not.
    std::int64_t requested_millicores{0};
    std::string image;
    /// When the run is expected to end; the maximum: not known, or it does not end by itself.
    boot_time expected_end{boot_time::max()};
    /// Time by which the run is likely to end earlier or later.
    boot_clock::duration likely_error{0};
};

/// Headroom of the serving tasks of one image on a VM.
struct serving_group {
    std::string image;
    /// Smallest headroom of the tasks when no filling tasks run on the VM; see `pressure_model`.
    double own_headroom{0};
    /// Part of it that the filling tasks on the VM are expected to consume.
    double consumed_headroom{0};
    /// The headroom of all these tasks was measured; otherwise a default stands for it.
    bool measured{false};
};

/// An end that was applied and must be stored before it is acknowledged to the runner.
struct unacknowledged_end {
    std::uint64_t number{0};
    task_ref task;
    /// Version of the job that includes the end; zero: nothing has to be stored.
    std::uint64_t job_version{0};
};

/// State of a VM on the leader. Not thread-safe.
struct vm_state {
    vm_name name;
    runner_registration runner;
    /// Its agent is connected and reports to this leader, and has read the runner's lists.
    bool usable{false};
    /// Until when the runs that were reported or ordered may continue without another report.
    boot_time may_run_until{};
    boot_time reported_at{};
    /// Since when its agent has reported the runner as lapsed; zero: it is not lapsed.
    boot_time lapsed_since{};
    std::map<task_attempt, vm_run> runs;
    resources reserved;
    /// Millicores that serving tasks have reserved, in total and by image.
    std::int64_t serving_millicores{0};
    std::map<std::string, std::int64_t> serving_by_image;
    /// Most millicores that the filling tasks would use, by image and in total.
    std::map<std::string, std::int64_t> filling_by_image;
    std::int64_t filling_millicores{0};
    /// Millicores that serving tasks use for their users, as of the last report.
    double serving_used_millicores{0};
    /// Millicores that filling tasks use, as of the last report.
    std::int64_t filling_used_millicores{0};
    /// One group for each serving image, as of the last report; `consumed_headroom` is updated with
    /// each start.
    std::vector<serving_group> serving;
    /// Last report that was applied on this connection, and when.
    std::uint64_t last_report{0};
    boot_time last_report_at{};
    /// Number of the last message with orders on this connection.
    std::uint64_t orders_sent{0};
    /// Number of the last end that was applied, and of the last that the runner may forget.
    std::uint64_t last_end{0};
    std::uint64_t acknowledged_end{0};
    std::deque<unacknowledged_end> unacknowledged;
    /// Number of failed runs since the last run that ended as done, and until when the VM is
    /// avoided.
    std::uint32_t failures_in_row{0};
    boot_time avoided_until{};
    /// Limits the starts while the agent rejects them.
    start_pacing pacing;
    /// Copy of what `runner_health` knows; unused unless the scheduler tracks it.
    vm_health health;

    /// Adds a run and its reservation; does nothing when the run is already there.
    void add_run(const task_attempt& run, const vm_run& needs);
    /// Removes a run and its reservation; false when it was not there.
    bool remove_run(const task_attempt& run);
    /// Millicores that no run has reserved; negative when more than the capacity is reserved.
    std::int64_t free_millicores() const;
};

using vm_table = std::map<vm_name, vm_state>;

} // namespace egretstile
