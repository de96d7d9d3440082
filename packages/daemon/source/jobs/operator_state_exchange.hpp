#pragma once

#include "jobs/operator_view.hpp"

#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <optional>

namespace egretstile::daemon {

/// Exchanges the operators' configuration and the closed failure domains between the leader and the
/// other entries, with the leader's pings and pongs. So a change also reaches an entry, or a
/// leader, that the store does not answer, and it learns how long its knowledge has been complete.
/// For the event loop's thread only.
class operator_state_exchange {
public:
    /// `operators` must outlive this object.
    explicit operator_state_exchange(operator_view& operators)
        : operators_(operators) {}

    /// At an entry: the next ping for the leader.
    wire::leader_ping next_ping(boot_time now);

    /// At an entry: takes the leader's confirmation; returns the configuration for the leader if
    /// the leader has an earlier one. A late answer to an earlier ping confirms nothing.
    std::optional<wire::config_update> apply_pong(const wire::leader_pong& pong);

    /// At the leader of `epoch`: takes the closed failure domains that the entry knows.
    void apply_ping(const wire::leader_ping& ping, epoch_number epoch);

    /// At the leader: the configuration for an entry that has an earlier one. Must be sent before
    /// the pong, which confirms it.
    std::optional<wire::config_update> update_for(const wire::leader_ping& ping) const;

    /// At the leader: adds what the leader knows of the operators' state to a pong.
    void describe(wire::leader_pong& pong, boot_time now) const;

    /// At both: adopts the configuration if it is later.
    void apply_update(const wire::config_update& update);

private:
    std::optional<wire::config_update> update_if_later_than(std::uint64_t version) const;
    wire::closed_domains_state closed_state(boot_time now) const;
    /// `stated_after`: a time before the sender stated the age.
    void merge_closed(const wire::closed_domains_state& closed,
                      std::optional<boot_time> stated_after);

    operator_view& operators_;
    std::uint64_t last_ping_number_{0};
    boot_time last_ping_at_{};
    epoch_number last_pong_epoch_{0};
    std::int64_t last_pong_sent_at_ms_{0};
};

} // namespace egretstile::daemon
