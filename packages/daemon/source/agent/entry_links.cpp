#include "agent/entry_links.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

/// A connection without heartbeat replies for this long is reopened: after a network failure the
/// operating system may keep the old one open for minutes.
constexpr milliseconds reply_timeout{1600};
/// An address that the replies of the entries no longer list is removed after this time.
constexpr milliseconds unlisted_retention{10000};

std::string key_of(const endpoint& address) {
    return address.host + ":" + std::to_string(address.port);
}

} // namespace

entry_links::entry_links(event_loop& loop, const agent_settings& settings,
                         incarnation_number incarnation, handlers callbacks)
    : loop_(loop)
    , settings_(settings)
    , incarnation_(incarnation)
    , handlers_(std::move(callbacks)) {
    for (const endpoint& address : settings_.entries) {
        find_or_add(address).from_settings = true;
    }
}

void entry_links::maintain(boot_time now) {
    for (auto position = links_.begin(); position != links_.end();) {
        link& current = position->second;
        const bool is_expired =
            !current.from_settings && now - current.last_listed_at > unlisted_retention;
        if (is_expired) {
            position = links_.erase(position);
            continue;
        }
        if (current.client->is_open() && now - current.last_reply_at > reply_timeout) {
            write_log(log_part::net, log_level::info,
                      "An entry does not answer heartbeats; reconnecting.",
                      "entry=" + current.entry);
            current.client->reset();
        }
        current.client->maintain();
        ++position;
    }
}

void entry_links::record_reply(const frame_connection& connection,
                               const std::vector<wire::entry_address>& live_entries,
                               boot_time now) {
    for (auto& [key, current] : links_) {
        if (current.connection == &connection) {
            current.last_reply_at = now;
        }
    }
    for (const wire::entry_address& address : live_entries) {
        find_or_add({address.host, address.port}).last_listed_at = now;
    }
}

void entry_links::for_each_open(
    const std::function<void(const entry_id&, frame_client&)>& function) {
    for (auto& [key, current] : links_) {
        if (current.client->is_open()) {
            function(current.entry, *current.client);
        }
    }
}

std::size_t entry_links::open_count() const {
    std::size_t count = 0;
    for (const auto& [key, current] : links_) {
        count += current.client->is_open() ? 1 : 0;
    }
    return count;
}

std::uint64_t entry_links::bytes_sent() const {
    std::uint64_t total = 0;
    for (const auto& [key, current] : links_) {
        total += current.client->bytes_sent();
    }
    return total;
}

std::uint64_t entry_links::bytes_received() const {
    std::uint64_t total = 0;
    for (const auto& [key, current] : links_) {
        total += current.client->bytes_received();
    }
    return total;
}

entry_links::link& entry_links::find_or_add(const endpoint& address) {
    const std::string key = key_of(address);
    const auto found = links_.find(key);
    if (found != links_.end()) {
        return found->second;
    }
    frame_connection::handlers callbacks;
    callbacks.on_open = [this, key](frame_connection& connection, const wire::hello& hello) {
        handle_open(key, connection, hello);
    };
    callbacks.on_message = handlers_.on_message;
    callbacks.on_closed = [this, key](frame_connection& /*connection*/) {
        const auto closed = links_.find(key);
        if (closed != links_.end()) {
            closed->second.connection = nullptr;
        }
    };
    link added;
    added.last_listed_at = boot_now();
    added.client = std::make_unique<frame_client>(
        loop_, address, settings_.common.deployment_key,
        wire::hello{wire::peer_role::agent, settings_.vm, incarnation_}, std::move(callbacks));
    return links_.emplace(key, std::move(added)).first->second;
}

void entry_links::handle_open(const std::string& key, frame_connection& connection,
                              const wire::hello& hello) {
    const auto found = links_.find(key);
    if (found == links_.end()) {
        return;
    }
    found->second.entry = hello.name;
    found->second.connection = &connection;
    found->second.last_reply_at = boot_now();
}

} // namespace egretstile::daemon
