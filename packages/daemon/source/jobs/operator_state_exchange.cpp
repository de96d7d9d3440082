#include "jobs/operator_state_exchange.hpp"

namespace egretstile::daemon {

namespace {

std::uint64_t version_of(const operator_view& operators) {
    return operators.config() ? operators.config()->version : 0;
}

/// Rounded up, so that nothing looks newer than it is.
std::int64_t age_in_ms(std::optional<boot_time> confirmed_at, boot_time now) {
    return confirmed_at ? std::chrono::ceil<milliseconds>(now - *confirmed_at).count() : -1;
}

} // namespace

wire::leader_ping operator_state_exchange::next_ping(boot_time now) {
    last_ping_at_ = now;
    return {++last_ping_number_, version_of(operators_), closed_state(now), last_pong_epoch_,
            last_pong_sent_at_ms_};
}

std::optional<wire::config_update>
operator_state_exchange::apply_pong(const wire::leader_pong& pong) {
    if (pong.number != last_ping_number_) {
        return std::nullopt;
    }
    last_pong_epoch_ = pong.epoch;
    last_pong_sent_at_ms_ = pong.sent_at_ms;
    if (pong.config_age_ms >= 0) {
        // The leader stated the age after the ping was sent, so this is not later than the
        // leader's own confirmation.
        operators_.confirm(pong.config_version, last_ping_at_ - milliseconds(pong.config_age_ms));
    }
    merge_closed(pong.closed, last_ping_at_);
    return update_if_later_than(pong.config_version);
}

void operator_state_exchange::apply_ping(const wire::leader_ping& ping, epoch_number epoch) {
    // The entry stated the age after it had received that pong. The arrival of the ping says
    // nothing, because a ping can be held up on its way.
    const bool answers_pong = ping.last_pong_epoch == epoch;
    merge_closed(ping.closed, answers_pong ? std::optional<boot_time>(
                                                 boot_time(milliseconds(ping.last_pong_sent_at_ms)))
                                           : std::nullopt);
}

std::optional<wire::config_update>
operator_state_exchange::update_for(const wire::leader_ping& ping) const {
    return update_if_later_than(ping.config_version);
}

void operator_state_exchange::describe(wire::leader_pong& pong, boot_time now) const {
    pong.config_version = version_of(operators_);
    pong.config_age_ms = age_in_ms(operators_.confirmed_at(), now);
    pong.closed = closed_state(now);
    pong.sent_at_ms = std::chrono::floor<milliseconds>(now.time_since_epoch()).count();
}

void operator_state_exchange::apply_update(const wire::config_update& update) {
    operators_.offer(update.config, update.revision);
}

std::optional<wire::config_update>
operator_state_exchange::update_if_later_than(std::uint64_t version) const {
    if (version_of(operators_) <= version) {
        return std::nullopt;
    }
    return wire::config_update{*operators_.config(), operators_.config_revision()};
}

wire::closed_domains_state operator_state_exchange::closed_state(boot_time now) const {
    const closed_domains& closed = operators_.closed();
    return {closed.known(), age_in_ms(closed.confirmed_at(), now)};
}

void operator_state_exchange::merge_closed(const wire::closed_domains_state& closed,
                                           std::optional<boot_time> stated_after) {
    std::optional<boot_time> confirmed_at;
    if (stated_after && closed.age_ms >= 0) {
        confirmed_at = *stated_after - milliseconds(closed.age_ms);
    }
    operators_.merge_closed(closed.domains, confirmed_at);
}

} // namespace egretstile::daemon
