#include "jobs/config_exchange.hpp"

namespace egretstile::daemon {

namespace {

std::uint64_t version_of(const operator_view& operators) {
    return operators.config() ? operators.config()->version : 0;
}

} // namespace

wire::leader_ping config_exchange::next_ping(boot_time now) {
    last_ping_at_ = now;
    return {++last_ping_number_, version_of(operators_)};
}

std::optional<wire::config_update> config_exchange::apply_pong(const wire::leader_pong& pong) {
    if (pong.number != last_ping_number_) {
        return std::nullopt;
    }
    if (pong.config_age_ms >= 0) {
        // The leader stated the age after the ping was sent, so this is not later than the
        // leader's own confirmation.
        operators_.confirm(pong.config_version, last_ping_at_ - milliseconds(pong.config_age_ms));
    }
    return update_if_later_than(pong.config_version);
}

std::optional<wire::config_update>
config_exchange::update_for(const wire::leader_ping& ping) const {
    return update_if_later_than(ping.config_version);
}

void config_exchange::describe(wire::leader_pong& pong, boot_time now) const {
    pong.config_version = version_of(operators_);
    if (const std::optional<boot_time> confirmed = operators_.confirmed_at()) {
        pong.config_age_ms = std::chrono::ceil<milliseconds>(now - *confirmed).count();
    }
}

void config_exchange::apply_update(const wire::config_update& update) {
    operators_.offer(update.config, update.revision);
}

std::optional<wire::config_update>
config_exchange::update_if_later_than(std::uint64_t version) const {
    if (version_of(operators_) <= version) {
        return std::nullopt;
    }
    return wire::config_update{*operators_.config(), operators_.config_revision()};
}

} // namespace egretstile::daemon
