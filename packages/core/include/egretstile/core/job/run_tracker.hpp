#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/late_lease_bound.hpp>
#include <egretstile/core/job/runner_fence.hpp>
#include <egretstile/core/job/scheduler_messages.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

struct run_tracker_settings {
    /// Length of the lease that each renewal gives to the runner. Bounds how long tasks continue on
    /// a runner that no longer answers.
    milliseconds runner_lease{3000};
    /// The runner shortens every lease to this.
    milliseconds longest_runner_lease{10000};
    /// Largest relative rate error of the runner's clock.
    double clock_drift{0.02};
    /// Longest delay between the end of a lease and the end of the tasks that it covered.
    milliseconds lapse_margin{500};
    /// A runner whose lists were not read for this long gets no further lease and no task.
    milliseconds silence_limit{1300};
    /// Number of tries of a start. After the last one without an answer, a stop is sent instead.
    std::uint32_t max_start_tries{3};
    /// For how long after a call was sent and not answered the runner, or its next process, may
    /// carry it out.
    milliseconds late_call_limit{12000};
};

/// A start that the agent has to send to the runner.
struct pending_start {
    start_order order;
    /// The start is not sent any more at this time.
    boot_time not_after{};
    std::uint32_t tries{0};
    bool in_flight{false};
};

/// A start of which some calls have no answer, so that the runner's next process may carry it out.
struct unanswered_start {
    start_order order;
    /// When the latest call was sent.
    boot_time sent_at{};
    std::uint32_t calls{0};
};

/// A stop that the agent has to send to the runner.
struct pending_stop {
    bool in_flight{false};
    /// Clock of the runner when it confirmed the stop; nothing before.
    std::optional<std::int64_t> confirmed_at_ms;
};

/// The agent's state of its runner: which tasks run there, which orders were not answered yet, and
/// until when tasks may run. Does not send anything itself. Not thread-safe. Precondition of all
/// methods: `now` does not decrease between calls.
class run_tracker {
public:
    /// `former_calls_until`: until when another process of this agent may have called the runner;
    /// nothing when there was none.
    explicit run_tracker(const run_tracker_settings& settings = {},
                         std::optional<boot_time> former_calls_until = std::nullopt);

    /// Applies a registration of the runner. When it was restarted, raises the fence and clears the
    /// state of the runner, except for starts without an answer: they are stopped in the new
    /// process.
    void apply_registration(const runner_registration& registration);
    /// Records that the registered runner has ended. Starts without an answer are still reported as
    /// starting for `late_call_limit`. Precondition: `evidence` is not `none`.
    void mark_runner_gone(runner_end_evidence evidence);

    /// Applies orders of the leader. False when they are of an earlier epoch and were ignored.
    bool apply_orders(const vm_orders& orders, boot_time now);

    /// Returns the next start to send and marks it as in flight; nothing when there is none. Starts
    /// that must not be sent any more are rejected, or stopped when an earlier try had no answer.
    std::optional<start_order> next_start(boot_time now);
    /// Returns the next stop to send and marks it as in flight; nothing when there is none.
    std::optional<task_attempt> next_stop();

    /// Records that the runner has confirmed the start; `clock_ms` is its clock in the answer.
    void start_done(const task_attempt& run, std::int64_t clock_ms);
    /// Records that this try of the start had no effect. The run is rejected at once, or after a
    /// stop when an earlier try had no answer.
    void start_rejected(const task_attempt& run, const std::string& reason);
    /// Records that the runner refused the start because it has already had this run or a later one
    /// of the task.
    void start_superseded(const task_attempt& run, std::int64_t clock_ms);
    /// Records that a try of the start had no answer.
    void start_unanswered(const task_attempt& run);
    /// Records that the runner has confirmed the stop; `clock_ms` is its clock in the answer.
    void stop_done(const task_attempt& run, std::int64_t clock_ms);
    /// Records that the stop had no answer; it is sent again.
    void stop_unanswered(const task_attempt& run);
    /// Records that the registered runner has carried out a call with this fence; `now` is when the
    /// answer was read.
    void fence_accepted(const runner_fence& accepted, boot_time now);
    /// Applies the runner's lists; lists that are older than those applied before are ignored. A
    /// run that is missing from lists that are not complete is kept as it was.
    void apply_lists(run_lists&& lists, boot_time now);

    /// End of the lease to send with a call now, in milliseconds on the runner's clock; nothing
    /// when the leader's permission has ended or the runner's lists were not read within
    /// `silence_limit`.
    std::optional<std::int64_t> lease_until_ms(boot_time now);

    /// When all tasks of the registered runner have certainly ended unless it gets another lease:
    /// after the leases that calls gave to it, and those that late calls to its former processes
    /// may have given.
    boot_time lapses_at() const { return std::max(leased_until_, late_leases_.ends_at()); }

    /// Whether all tasks that were covered by a lease have certainly ended.
    bool has_lapsed(boot_time now) const { return now >= lapses_at(); }

    /// Creates the next report to the leader.
    vm_report make_report(const vm_name& vm, boot_time now);

    epoch_number epoch() const { return fence_.epoch; }

    /// Fence to send with every call to the runner.
    const runner_fence& fence() const { return fence_; }

    /// Whether the registered runner has certainly seen a fence above those of all calls that were
    /// meant for its former processes.
    bool is_fence_confirmed() const { return fence_confirmed_; }

    /// Until when tasks may run without a renewed permission from the leader.
    boot_time permission_until() const { return permission_until_; }

    const runner_registration& registration() const { return registration_; }

    /// Whether the lists of the registered runner have been read.
    bool lists_known() const { return lists_known_; }

    /// Number of the last end that the runner may forget.
    std::uint64_t acknowledged_ends() const { return acknowledged_ends_; }

    const std::vector<active_run>& active() const { return active_; }

    /// Runs that the runner has confirmed and not listed yet.
    std::vector<task_attempt> unlisted() const;

    /// Attributes of a run; null when they are not known. The pointer is valid until the next call
    /// of a method that is not const.
    const start_order* attributes(const task_attempt& run) const;

    /// Whether the runner lists ends that are not acknowledged yet.
    bool has_unacknowledged_ends() const {
        return !ended_.empty() && ended_.back().number > acknowledged_ends_;
    }

    /// Whether a change has happened since the last call that should be reported at once.
    bool take_urgent_change() { return std::exchange(urgent_change_, false); }

private:
    std::optional<boot_time> report_sent_at(std::uint64_t sequence) const;
    /// Longest time on this VM's clock until all tasks under a lease of this length have ended.
    milliseconds longest_lease(milliseconds length) const;
    /// Raises the fence above those of all calls to the runner's former processes.
    void raise_fence();
    /// Forgets what belongs to the runner's former process. Starts that its next process may carry
    /// out remain, to be stopped there.
    void clear_runner_state();
    /// Records that a call of the start was answered.
    void remove_unanswered_call(const task_attempt& run);
    /// Forgets starts that were sent too long ago to be carried out late.
    void expire_unanswered_starts(boot_time now);
    /// Counts the ends in `ended_` that were not listed before.
    void count_new_ends(boot_time now);
    /// Replaces the lists; keeps active runs that incomplete lists leave out.
    void replace_lists(run_lists&& lists);

    bool is_silent(boot_time now) const { return now >= clock_read_at_ + settings_.silence_limit; }

    void reject(const task_attempt& run, const std::string& reason);
    bool is_listed(const task_attempt& run) const;

    run_tracker_settings settings_;
    runner_fence fence_;
    /// Fence of the first call that was meant for the registered runner. Nothing when the numbers
    /// of processes are used up, so that no call can be told from those to former processes.
    std::optional<runner_fence> first_fence_;
    bool fence_confirmed_{false};
    late_lease_bound late_leases_;
    runner_registration registration_;
    bool lists_known_{false};
    bool lists_complete_{false};
    runner_end_evidence runner_end_{runner_end_evidence::none};
    std::vector<active_run> active_;
    std::vector<ended_run> ended_;
    /// Whether each run that ended lately as done or failed was done, and when its end was listed
    /// first.
    std::deque<std::pair<boot_time, bool>> recent_ends_;
    /// Number of the last end that was counted in `recent_ends_`.
    std::uint64_t counted_end_{0};
    std::map<task_attempt, pending_start> starts_;
    std::map<task_attempt, unanswered_start> unanswered_starts_;
    std::map<task_attempt, pending_stop> stops_;
    /// Runs whose start the runner has confirmed or refused as superseded, or that are missing from
    /// incomplete lists, and the runner's clock at that time. Complete lists that were read later
    /// show whether the run is active, ended or missing.
    std::map<task_attempt, std::int64_t> confirmed_;
    std::map<task_attempt, start_order> attributes_;
    /// Rejected runs and the first report that contained them; zero: none yet.
    std::vector<std::pair<rejected_run, std::uint64_t>> rejected_;
    std::uint64_t applied_order_number_{0};
    std::uint64_t acknowledged_ends_{0};
    std::uint64_t report_count_{0};
    /// Sequence numbers of the latest reports and when they were created.
    std::deque<std::pair<std::uint64_t, boot_time>> sent_reports_;
    boot_time permission_until_{};
    /// The runner's clock in the last applied lists, and when they were applied.
    std::int64_t clock_ms_{0};
    boot_time clock_read_at_{};
    /// When all tasks that were covered by a lease that was meant for the registered runner have
    /// certainly ended.
    boot_time leased_until_{};
    bool urgent_change_{false};
};

} // namespace egretstile
