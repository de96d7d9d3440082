#pragma once

#include "http/connection_policy.hpp"

#include <egretstile/runtime/http/http_server.hpp>

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace egretstile {

/// One connection of an `http_server`. Handles one request at a time: the next one is parsed when
/// the client has read the response to the previous one, and beyond a small window nothing is read
/// from the socket before.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server& server, const Poco::Net::StreamSocket& socket);

    /// Starts reading requests. Precondition: a shared pointer owns the object; called once.
    void start();
    void close();
    /// Refuses the incomplete request, or closes the connection when there is none.
    void end(http_refusal reason);
    /// Counts the input that the kernel holds while nothing is read from the socket.
    void measure_unread_input();

    connection_facts facts() const;

    /// Those with which the present request began.
    const connection_time_limits& time_limits() const { return time_limits_; }

private:
    void handle_ready(int mode);
    void read_available();
    void drop_input(std::size_t bytes);
    /// Handles the requests that have arrived completely.
    void process_input();
    /// Advances the present request; false when it needs more input.
    bool advance();
    bool advance_head();
    void begin_body(const http_head& head);
    /// Takes as much of `bytes` as belongs to the body; returns how many bytes that were.
    std::size_t take_body(std::string_view bytes);
    void finish_request();
    /// Sends an error response, drops what still arrives, and closes the connection.
    void refuse(int status, http_refusal reason);
    void refuse(http_response&& response, http_refusal reason);
    void dispatch();
    void send_response(http_response&& response, bool keep_alive);
    void write_pending();
    void handle_sent();
    void enter(connection_phase phase);
    void update_mode();
    void update_memory();
    bool wants_input() const;
    std::size_t max_body_bytes() const;

    /// Buffers above this size are released after use.
    static constexpr std::size_t kept_capacity = std::size_t{4} * 1024;

    static void release(std::string& buffer) { std::string().swap(buffer); }

    http_server& server_;
    Poco::Net::StreamSocket socket_;
    connection_phase phase_{connection_phase::idle};
    boot_time phase_since_;
    connection_time_limits time_limits_;
    std::size_t max_head_bytes_{0};
    /// Input that does not belong to the body of the present request.
    std::string input_;
    /// Part of `input_` that does not contain the end of the header.
    std::size_t scanned_{0};
    http_request request_;
    bool keep_alive_{true};
    std::size_t body_bytes_{0};
    std::size_t body_received_{0};
    /// Response to a request whose body is not stored.
    std::optional<http_response> refusal_;
    std::string output_;
    std::size_t sent_{0};
    std::size_t dropped_bytes_{0};
    /// Memory of the request that the handler has.
    std::size_t pending_bytes_{0};
    std::size_t unread_bytes_{0};
    std::size_t held_bytes_{0};
    /// Modes in which the socket is watched; zero: not watched.
    int watched_mode_{0};
    bool has_answered_{false};
    bool processing_{false};
    bool input_ended_{false};
    bool close_when_sent_{false};
    bool closed_{false};
};

} // namespace egretstile
