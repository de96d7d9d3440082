#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/scheduler_messages.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

struct run_tracker_settings {
    /// Length of the lease that the runner gets with each renewal. Bounds how long tasks of a
    /// runner that no longer answers can go on.
    milliseconds runner_lease{3000};
    /// Largest relative error of the runner's clock.
    double clock_drift{0.02};
    /// Allowance for the delay between the end of a lease and the end of its tasks.
    milliseconds lapse_margin{500};
    /// A runner that has shown its lists no later than this ago gets no further lease and no task.
    milliseconds silence_limit{1300};
    /// An unanswered start is repeated this often before it is stopped instead.
    std::uint32_t start_tries{3};
};

/// A start that the agent has to send to the runner.
struct pending_start {
    start_order order;
    std::uint32_t tries{0};
    bool in_flight{false};
};

/// A stop that the agent has to send to the runner.
struct pending_stop {
    bool in_flight{false};
    /// Clock of the runner when it confirmed the stop; nothing before.
    std::optional<std::int64_t> confirmed_at_ms;
};

/// The agent's knowledge of its runner: what runs there, what was ordered and not answered, and
/// until when the runner may go on. Sends nothing itself. Not thread-safe; `now` must not go back.
class run_tracker {
public:
    explicit run_tracker(const run_tracker_settings& settings = {});

    /// Takes what the runner says of itself. Another life than before starts with empty lists.
    void registered(const runner_registration& registration);
    /// The runner has said that it ends, or its last lease has ended while it did not answer.
    void runner_gone();

    /// Takes orders in. False when they are of an earlier epoch and were ignored.
    bool take_orders(const vm_orders& orders, boot_time now);

    /// The next start or stop to send; it is marked as being in flight.
    std::optional<start_order> next_start();
    std::optional<task_attempt> next_stop();

    /// Results of calls.
    void start_done(const task_attempt& run, std::int64_t clock_ms);
    /// This try started nothing. The run is rejected at once, or after a stop when an earlier try
    /// had no answer.
    void start_rejected(const task_attempt& run, const std::string& reason);
    /// The runner has had the run, or a later one.
    void start_was_old(const task_attempt& run, std::int64_t clock_ms);
    void start_unanswered(const task_attempt& run);
    void stop_done(const task_attempt& run, std::int64_t clock_ms);
    void stop_unanswered(const task_attempt& run);
    /// `sent_at` is when the call was sent. `born_ms` as the registration gave it.
    void lists_read(std::int64_t clock_ms, std::vector<active_run>&& active,
                    std::vector<ended_run>&& ended, boot_time now);

    /// Lease for a call that is sent now, on the runner's clock; nothing when the leader's
    /// permission has ended or the runner's clock is not known.
    std::optional<std::int64_t> lease_until_ms(boot_time now);

    /// Whether everything that was leased has certainly ended.
    bool has_lapsed(boot_time now) const { return now >= leased_until_; }

    /// Makes the next report.
    vm_report make_report(const vm_name& vm, boot_time now);

    epoch_number epoch() const { return epoch_; }

    /// Until when tasks may run without a further word of the leader.
    boot_time permission_until() const { return permission_until_; }

    const runner_registration& registration() const { return registration_; }

    bool lists_known() const { return lists_known_; }

    std::uint64_t acknowledged_ends() const { return acknowledged_ends_; }

    const std::vector<active_run>& active() const { return active_; }

    /// Runs that the runner has confirmed and not listed yet.
    std::vector<task_attempt> unlisted() const;

    /// Attributes of a run; null when they are not known.
    const start_order* attributes(const task_attempt& run) const;

    /// Whether the runner lists ends that it may not forget yet.
    bool has_unacknowledged_ends() const {
        return !ended_.empty() && ended_.back().number > acknowledged_ends_;
    }

    /// Whether something has happened that the leader should hear of at once.
    bool take_news() { return std::exchange(news_, false); }

private:
    std::optional<boot_time> report_sent_at(std::uint64_t sequence) const;
    /// How long a lease may last on this VM's clock until its tasks have ended.
    milliseconds longest_lease(milliseconds length) const;
    void forget_runner();

    bool is_silent(boot_time now) const { return now >= clock_read_at_ + settings_.silence_limit; }

    void reject(const task_attempt& run, const std::string& reason);
    bool is_listed(const task_attempt& run) const;

    run_tracker_settings settings_;
    epoch_number epoch_{0};
    runner_registration registration_;
    bool lists_known_{false};
    bool gone_{false};
    std::vector<active_run> active_;
    std::vector<ended_run> ended_;
    std::map<task_attempt, pending_start> starts_;
    std::map<task_attempt, pending_stop> stops_;
    /// Runs that the runner has confirmed or refused as old, and its clock then; until a later list
    /// shows what became of them.
    std::map<task_attempt, std::int64_t> confirmed_;
    std::map<task_attempt, start_order> attributes_;
    /// Rejected runs and the last report that carried them; zero: none yet.
    std::vector<std::pair<rejected_run, std::uint64_t>> rejected_;
    std::uint64_t orders_seen_{0};
    std::uint64_t acknowledged_ends_{0};
    std::uint64_t reports_{0};
    std::deque<std::pair<std::uint64_t, boot_time>> sent_reports_;
    boot_time permission_until_{};
    /// The runner's clock as it was read last.
    std::int64_t clock_ms_{0};
    boot_time clock_read_at_{};
    boot_time leased_until_{};
    bool news_{false};
};

} // namespace egretstile
