#pragma once

#include "net/frame_connection.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Maintains a connection to one address: reconnects after a loss, with an exponentially growing
/// delay. For the event loop's thread only.
class frame_client {
public:
    frame_client(event_loop& loop, endpoint address, std::string deployment_key,
                 wire::hello own_hello, frame_connection::handlers callbacks);
    frame_client(const frame_client&) = delete;
    frame_client& operator=(const frame_client&) = delete;
    frame_client(frame_client&&) = delete;
    frame_client& operator=(frame_client&&) = delete;
    ~frame_client();

    const endpoint& address() const { return address_; }

    /// Connects when the retry delay has passed, and closes a connection whose handshake timed out.
    /// Call a few times a second.
    void maintain();

    bool is_open() const { return connection_ != nullptr && connection_->is_open(); }

    /// Queues a message; false when there is no open connection or its queue is full.
    bool send(const wire::message& message);

    /// Closes the connection, for example when its peer does not respond, and calls `on_closed`;
    /// `maintain` opens a new one.
    void reset();

    /// Totals over the current connection and earlier ones.
    std::uint64_t bytes_received() const;
    std::uint64_t bytes_sent() const;

private:
    void connect();
    void schedule_retry();
    void drop_connection();

    event_loop& loop_;
    endpoint address_;
    std::string deployment_key_;
    wire::hello own_hello_;
    frame_connection::handlers handlers_;
    std::shared_ptr<frame_connection> connection_;
    boot_time next_attempt_at_{};
    boot_time handshake_deadline_{};
    milliseconds retry_delay_{0};
    std::uint64_t bytes_received_{0};
    std::uint64_t bytes_sent_{0};
};

} // namespace egretstile::daemon
