#pragma once

#include "jobs/control_view.hpp"

#include <egretstile/core/job/job_scheduler.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

struct election_settings {
    /// The store removes the leader's key when the lease has not been renewed for this long. Short,
    /// so that a failed leader is replaced soon, but longer than the pauses of a slow store.
    milliseconds lease{1500};
    milliseconds renewal_interval{400};
    /// Pause after a failed renewal.
    milliseconds renewal_retry_delay{150};
    /// How long this entry waits before it claims the leadership when there is no leader. Longer
    /// for an entry with little processor time, so that others claim first.
    milliseconds claim_delay{0};
    /// How long a leader that cannot reach the store remains leader. None of its permissions lasts
    /// longer.
    milliseconds max_unconfirmed_time{scheduler_settings().permission_term};
};

struct leadership {
    epoch_number epoch{0};
    /// Revision of the epoch's key; writes of this leader expect it.
    revision_number epoch_revision{0};
    /// The store has confirmed the leadership in answer to a call that was sent at this time.
    boot_time confirmed_at{};
    /// All permissions of earlier leaders have ended at this time.
    boot_time earlier_permissions_until{};
    /// As `control_view::epochs_seen`.
    std::map<epoch_number, boot_time> epochs_seen;
};

/// Settings for an entry that may use `processor_share` cores. Thread-safe.
election_settings election_settings_for(double processor_share);

/// Claims the leadership for this process when there is no leader, and renews it. For the event
/// loop's thread only.
class leader_election {
public:
    struct handlers {
        std::function<void(const leadership&)> on_elected;
        std::function<void()> on_leadership_lost;
        /// The store has confirmed the leadership in answer to a call that was sent at this time.
        std::function<void(boot_time)> on_confirmed;
    };

    leader_election(event_loop& loop, infrastructure::coordination_store& store,
                    control_view& control, const election_settings& settings, std::string name,
                    const endpoint& address, handlers callbacks);
    leader_election(const leader_election&) = delete;
    leader_election& operator=(const leader_election&) = delete;
    leader_election(leader_election&&) = delete;
    leader_election& operator=(leader_election&&) = delete;
    ~leader_election() = default;

    /// Call after each change of the control view.
    void handle_control_change();
    /// Call when a message or a failed write has shown a later epoch: ends the leadership and reads
    /// the control keys again.
    void handle_later_epoch();
    /// Gives up the leadership and makes no further claim.
    void resign();

    bool leads() const { return leadership_.has_value(); }

private:
    /// Records since when the control view has shown no leader, and schedules a check for the end
    /// of the claim delay.
    void track_vacancy();
    void claim();
    /// `lease_requested_at` is when the call that granted the lease was sent.
    void write_claim(infrastructure::store_lease lease, boot_time lease_requested_at);
    void retry_claim_later();
    bool may_claim() const;
    /// Whether the claim delay has passed since the leader's key was first seen to be absent. True
    /// while the key is present: this entry then replaces its own earlier process without a delay.
    bool claim_delay_elapsed() const;
    /// When all permissions of leaders before `epoch` have ended.
    boot_time earlier_permissions_bound(epoch_number epoch) const;
    void begin_leadership(const leadership& acquired, infrastructure::store_lease lease);
    void renew();
    void retry_renewal_later();
    void end_leadership(const char* reason);

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    control_view& control_;
    election_settings settings_;
    std::string name_;
    endpoint address_;
    handlers handlers_;
    std::optional<leadership> leadership_;
    infrastructure::store_lease lease_{infrastructure::no_lease};
    boot_time confirmed_at_{};
    /// When the absence of a leader was first seen; zero while there is a leader.
    boot_time no_leader_since_{};
    /// Epoch of the latest leader at `no_leader_since_`.
    epoch_number vacant_epoch_{0};
    bool claiming_{false};
    bool renewing_{false};
    bool resigned_{false};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
