#pragma once

#include <egretstile/runtime/http/http_message.hpp>
#include <egretstile/runtime/net/endpoint.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <Poco/Net/ServerSocket.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

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

    struct limits {
        std::size_t max_connections{2000};
        std::size_t max_head_bytes{std::size_t{16} * 1024};
        std::size_t max_body_bytes{std::size_t{4} * 1024 * 1024};
        /// A connection on which no complete request arrives for this long is closed, unless a
        /// request is being handled. Longer than clients usually keep connections for reuse.
        milliseconds idle_limit{90000};
    };

    /// Binds the address and listens. Throws Poco::Exception when the address cannot be bound. The
    /// server must live as long as the loop runs.
    http_server(event_loop& loop, const endpoint& address, const limits& bounds, handler function);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    std::uint16_t port() const { return socket_.address().port(); }

    /// Makes all further responses carry `Connection: close`; each connection is closed after its
    /// response.
    void disable_keep_alive() { stopping_ = true; }

    /// Number of requests that were passed to the handler and have no response yet.
    std::size_t active_requests() const { return active_requests_; }

    std::size_t connections() const { return connections_.size(); }

private:
    friend class http_server_connection;

    void accept_connection();
    void close_idle_connections();

    event_loop& loop_;
    Poco::Net::ServerSocket socket_;
    limits limits_;
    handler handler_;
    std::set<std::shared_ptr<http_server_connection>> connections_;
    std::size_t active_requests_{0};
    bool stopping_{false};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile
