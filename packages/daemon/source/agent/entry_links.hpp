#pragma once

#include "net/frame_client.hpp"
#include "settings/agent_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// The agent's connections to the entries: to the addresses in its settings and to those that
/// heartbeat replies list. For the event loop's thread only.
class entry_links {
public:
    struct handlers {
        std::function<void(frame_connection&, wire::message&&)> on_message;
    };

    entry_links(event_loop& loop, const agent_settings& settings, incarnation_number incarnation,
                handlers callbacks);

    /// Connects where a connection is missing, reopens connections whose entry does not answer
    /// heartbeats, and removes addresses that are no longer listed. Call a few times a second.
    void maintain(boot_time now);

    /// Records a heartbeat reply on this connection, with the reply's list of live entries.
    void record_reply(const frame_connection& connection,
                      const std::vector<wire::entry_address>& live_entries, boot_time now);

    /// Calls `function` with each open connection and the id of its entry.
    void for_each_open(const std::function<void(const entry_id&, frame_client&)>& function);

    std::size_t open_count() const;
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    struct link {
        std::unique_ptr<frame_client> client;
        entry_id entry;
        bool from_settings{false};
        boot_time last_listed_at{};
        boot_time last_reply_at{};
        const frame_connection* connection{nullptr};
    };

    link& find_or_add(const endpoint& address);
    void handle_open(const std::string& key, frame_connection& connection,
                     const wire::hello& hello);

    event_loop& loop_;
    const agent_settings& settings_;
    incarnation_number incarnation_;
    handlers handlers_;
    std::map<std::string, link> links_;
};

} // namespace egretstile::daemon
