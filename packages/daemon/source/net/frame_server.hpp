#pragma once

#include "net/frame_connection.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/runtime/telemetry/log_limiter.hpp>

#include <Poco/Net/ServerSocket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace egretstile::daemon {

/// Accepts frame connections. Must live as long as the event loop runs, because the callbacks that
/// it registers there refer to it. For the event loop's thread only.
class frame_server {
public:
    /// Binds and listens. Throws Poco::Exception when the address cannot be bound.
    /// Of the connections that have not authenticated yet, at most `max_handshakes` are open.
    frame_server(event_loop& loop, const endpoint& address, std::string deployment_key,
                 wire::hello own_hello, frame_connection::handlers callbacks,
                 std::size_t max_handshakes = default_max_handshakes);
    frame_server(const frame_server&) = delete;
    frame_server& operator=(const frame_server&) = delete;
    frame_server(frame_server&&) = delete;
    frame_server& operator=(frame_server&&) = delete;
    ~frame_server();

    std::uint16_t port() const { return socket_.address().port(); }

    /// Totals over all connections, including closed ones.
    std::uint64_t bytes_received() const;
    std::uint64_t bytes_sent() const;

    /// Sets the `hello` for connections that are accepted from now on.
    void set_hello(wire::hello own_hello);

private:
    /// All agents of a failure domain connect at the same time after an outage.
    static constexpr std::size_t default_max_handshakes = 512;

    void accept_pending();
    void pause_accepting();
    /// Closes the oldest connections beyond the limit that have not authenticated.
    void limit_handshakes();
    void remove(const std::shared_ptr<frame_connection>& connection);
    void schedule_handshake_timeout(const std::shared_ptr<frame_connection>& connection);

    event_loop& loop_;
    Poco::Net::ServerSocket socket_;
    std::string deployment_key_;
    wire::hello own_hello_;
    frame_connection::handlers handlers_;
    std::size_t max_handshakes_;
    log_limiter accept_log_;
    std::set<std::shared_ptr<frame_connection>> connections_;
    /// Connections that had not authenticated when they were last checked, the oldest first.
    std::deque<std::weak_ptr<frame_connection>> handshakes_;
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
    std::uint64_t closed_bytes_received_{0};
    std::uint64_t closed_bytes_sent_{0};
};

} // namespace egretstile::daemon
