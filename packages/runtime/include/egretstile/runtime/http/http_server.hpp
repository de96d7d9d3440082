#pragma once

#include <egretstile/runtime/http/http_message.hpp>
#include <egretstile/runtime/http/http_refusal.hpp>
#include <egretstile/runtime/http/memory_budget.hpp>
#include <egretstile/runtime/net/endpoint.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace egretstile {

class http_server_connection;

/// HTTP/1.1 server on the event loop. Uses no thread per connection, so that callers can keep many
/// connections open. Must be used on the event loop's thread only.
class http_server {
public:
    /// Sends the response to one request. Must be called once, inside the handler or at any later
    /// time; further calls, and calls after the connection was closed, send nothing.
    using responder = std::function<void(http_response&&)>;
    using handler = std::function<void(http_request&&, responder)>;

    /// Checks the header of a request with a body before the body is read. Returns a response to
    /// refuse the request; its body is then read but not stored, and the handler is not called. A
    /// response with the status 413 is sent at once and closes the connection.
    using head_check = std::function<std::optional<http_response>(const http_request& head,
                                                                  std::size_t body_bytes)>;
    using refusal_observer = std::function<void(http_refusal)>;

    struct limits {
        std::size_t max_connections{2000};
        std::size_t max_head_bytes{std::size_t{16} * 1024};
        std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
        /// Largest body from a client on the same VM; no effect when it is below `max_body_bytes`.
        std::size_t max_local_body_bytes{0};
        /// Copies of a body that exist at most while the handler decodes, stores and forwards it;
        /// they count as memory of the request until it is answered.
        std::size_t body_copies{6};
        /// A connection on which no complete request arrives for this long is closed, unless a
        /// request is being handled. Longer than clients usually keep connections for reuse.
        milliseconds idle_limit{90000};
        /// When connections run short, those that were idle for longer than this may be closed.
        milliseconds idle_floor{15000};
        /// Time for a header from its first byte on; extended while nothing runs short.
        milliseconds header_timeout{3000};
        /// Size of each socket's receive and send buffers in the kernel; zero: its default.
        int socket_buffer_bytes{0};
        /// Name of the address in log lines.
        std::string name{"http"};
        /// Bounds the memory of all connections; null: unbounded. Must outlive the server.
        memory_share* memory{nullptr};
    };

    /// Limits that may change while the server runs. A request that has begun keeps its limits.
    struct request_bounds {
        std::size_t max_head_bytes{std::size_t{16} * 1024};
        milliseconds header_timeout{3000};
        milliseconds idle_floor{15000};
    };

    /// Binds the address and listens. Throws Poco::Exception when the address cannot be bound. The
    /// server must live as long as the loop runs.
    http_server(event_loop& loop, const endpoint& address, const limits& bounds, handler function,
                head_check check = {}, refusal_observer observer = {});
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    std::uint16_t port() const { return socket_.address().port(); }

    /// Makes all further responses carry `Connection: close`; each connection is closed after its
    /// response.
    void disable_keep_alive() { stopping_ = true; }

    /// Sets the limits for requests that begin from now on.
    void set_request_bounds(const request_bounds& bounds);

    /// Number of requests that were passed to the handler and whose response has not been written
    /// to the socket yet.
    std::size_t active_requests() const;

    std::size_t connections() const { return connections_.size(); }

private:
    friend class http_server_connection;

    void accept_connections();
    /// Accepts one connection; returns whether there may be another one.
    bool accept_connection();
    void pause_accepting();
    /// Closes the connections that have exceeded a limit of time.
    void close_overdue_connections();
    /// Closes the connection that can best be spared; false when there is none.
    bool free_connection();
    /// Refuses other incomplete requests until `bytes` more can be held; false when `requester`
    /// itself has to be refused.
    bool reserve_memory(std::size_t bytes, const http_server_connection& requester);
    bool is_short() const;
    void count_refusal(http_refusal reason);
    void log_refusals();

    event_loop& loop_;
    Poco::Net::ServerSocket socket_;
    limits limits_;
    handler handler_;
    head_check head_check_;
    refusal_observer refusal_observer_;
    memory_share unbounded_{std::numeric_limits<std::size_t>::max()};
    memory_share& memory_;
    std::set<std::shared_ptr<http_server_connection>> connections_;
    std::size_t active_requests_{0};
    bool stopping_{false};
    bool accepting_{true};
    /// Refusals since the last log line, by `http_refusal`.
    std::array<std::uint64_t, http_refusal_names.size()> unlogged_refusals_{};
    boot_time logged_at_{};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile
