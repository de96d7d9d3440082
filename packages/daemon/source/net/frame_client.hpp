#pragma once

#include "net/frame_connection.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Keeps a connection to one address: connects again after a loss, with a growing pause. For the
/// event loop's thread only.
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

    /// Connects when it is time to; call a few times a second.
    void maintain();

    bool is_open() const { return connection_ != nullptr && connection_->is_open(); }

    bool send(const wire::message& message);

    /// Closes the connection, for example when its peer is silent; `maintain` opens a new one.
    void reset();

    /// Bytes of the current connection and of earlier ones.
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
    boot_time connect_at_{};
    boot_time handshake_deadline_{};
    milliseconds pause_{0};
    std::uint64_t bytes_received_{0};
    std::uint64_t bytes_sent_{0};
};

} // namespace egretstile::daemon
