#pragma once

#include "jobs/control_view.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

struct election_settings {
    /// The store removes the leader's key when it has not been renewed for this long. Short, so
    /// that a dead leader is replaced soon; above the pauses of a slow store.
    milliseconds lease{2000};
    milliseconds renewal_interval{500};
    /// How long an entry leaves a vacancy to others. Longer for an entry with little processor
    /// time.
    milliseconds claim_delay{0};
    /// How long a leader that cannot reach the store goes on. Covers the store's outages.
    milliseconds longest_unconfirmed{10000};
};

struct leadership {
    epoch_number epoch{0};
    /// Revision of the epoch's key; writes of this leader expect it.
    revision_number epoch_revision{0};
    /// An earlier leader may have given permissions until then.
    boot_time earlier_until{};
};

/// Settings for an entry that may use `processor_share` cores. Thread-safe.
election_settings election_settings_for(double processor_share);

/// Makes this process the leader when there is none, and keeps it so. For the event loop's thread.
class leader_election {
public:
    struct handlers {
        std::function<void(const leadership&)> on_elected;
        std::function<void()> on_deposed;
        /// The leadership was confirmed by a call that was sent at this time.
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
    void control_changed();
    /// A message or a failed write has shown a later epoch.
    void later_epoch_seen();
    /// Gives the leadership up for good.
    void resign();

    bool leads() const { return leadership_.has_value(); }

private:
    void claim();
    void write_claim(infrastructure::store_lease lease);
    void claim_failed();
    bool may_claim() const;
    /// Whether others have had the time to claim first; asks again later otherwise.
    bool has_waited();
    boot_time earlier_leader_until(epoch_number epoch, bool replaced_itself) const;
    void elected(const leadership& won, infrastructure::store_lease lease, boot_time confirmed_at);
    void renew();
    /// Tells the store once no earlier leader gives permissions any more.
    void settle();
    void depose(const char* reason);

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
    /// Since when there has been no leader; zero: there is one.
    boot_time vacant_since_{};
    bool claiming_{false};
    bool renewing_{false};
    /// The store knows, or is being told, that no earlier leader gives permissions.
    bool settled_{false};
    bool resigned_{false};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
