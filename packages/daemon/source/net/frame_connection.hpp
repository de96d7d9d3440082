#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/frame/frame_codec.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Why a connection ended without having been closed by this process.
enum class connection_end : std::uint8_t {
    none,           ///< It is open, or this process closed it.
    closed_by_peer, ///< The peer ended it in the regular way.
    socket_failed,
    receive_failed,
    send_failed,
    invalid_frame,
    no_hello, ///< The peer did not introduce itself within the bounds of the handshake.
};

inline constexpr std::array<enum_name<connection_end>, 7> connection_end_names{
    {{connection_end::none, "none"},
     {connection_end::closed_by_peer, "closed_by_peer"},
     {connection_end::socket_failed, "socket_failed"},
     {connection_end::receive_failed, "receive_failed"},
     {connection_end::send_failed, "send_failed"},
     {connection_end::invalid_frame, "invalid_frame"},
     {connection_end::no_hello, "no_hello"}}};

/// An authenticated connection to another process of the deployment. Each side first sends a nonce.
/// Every following frame carries a MAC, with keys derived from both nonces, and the first message
/// of each side is `hello`. For the event loop's thread only.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    enum class side : std::uint8_t { client, server };

    struct handlers {
        /// Called with each message after `hello`.
        std::function<void(frame_connection&, wire::message&&)> on_message;
        /// Called when the peer's `hello` has arrived, which authenticates the peer.
        std::function<void(frame_connection&, const wire::hello&)> on_open;
        /// Called at most once, when the connection was lost or failed; no callback follows.
        std::function<void(frame_connection&)> on_closed;
    };

    /// Precondition: `socket` is non-blocking and connected or connecting.
    frame_connection(event_loop& loop, const Poco::Net::StreamSocket& socket, side own_side,
                     std::string deployment_key, wire::hello own_hello, handlers callbacks);
    frame_connection(const frame_connection&) = delete;
    frame_connection& operator=(const frame_connection&) = delete;
    frame_connection(frame_connection&&) = delete;
    frame_connection& operator=(frame_connection&&) = delete;
    ~frame_connection() = default;

    /// Starts the handshake. Precondition: called once, on an object owned by a shared pointer.
    void start();

    bool is_open() const { return peer_.has_value() && !closed_; }

    bool is_closed() const { return closed_; }

    /// The peer's `hello`. Precondition: `is_open` has been true.
    const wire::hello& peer() const { return *peer_; }

    /// Queues a message; false when the connection is not open or its queue is full.
    bool send(const wire::message& message);

    /// Bytes queued that the operating system has not accepted yet.
    std::size_t queued_bytes() const { return output_.size() - output_offset_; }

    std::uint64_t bytes_received() const { return bytes_received_; }

    std::uint64_t bytes_sent() const { return bytes_sent_; }

    /// Why the connection ended, as fields of a log line, with the system's error number and the
    /// amounts that were transferred and left unsent.
    std::string describe_end() const;

    /// Closes without calling `on_closed`.
    void close();

private:
    void handle_ready(int mode);
    void read_available();
    bool process_nonce();
    void process_messages();
    void process_hello(const wire::message& message);
    void write_pending();
    void update_mode();
    void fail(connection_end reason, int error_number = 0);
    void fail_deferred(connection_end reason, int error_number);
    void note_end(connection_end reason, int error_number);

    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    side side_;
    std::string deployment_key_;
    wire::hello own_hello_;
    handlers handlers_;
    wire::nonce own_nonce_{};
    std::string nonce_input_;
    std::optional<wire::frame_encoder> encoder_;
    std::optional<wire::frame_decoder> decoder_;
    std::optional<wire::hello> peer_;
    std::string output_;
    std::size_t output_offset_{0};
    std::uint64_t bytes_received_{0};
    std::uint64_t bytes_sent_{0};
    connection_end end_{connection_end::none};
    /// Error number of the system; zero: none.
    int end_error_{0};
    /// Bytes that were queued when the connection ended.
    std::size_t unsent_bytes_{0};
    bool wants_write_{true};
    bool closed_{false};
};

} // namespace egretstile::daemon
