#pragma once

#include "settings/entry_settings.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace egretstile::daemon {

/// A request with its complete body.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// Value of a header by its lower-case name, or `fallback`.
    std::string header(const std::string& name, const std::string& fallback = "") const;
    /// Value of a query parameter, or `fallback`.
    std::string parameter(const std::string& name, const std::string& fallback = "") const;
};

struct http_answer {
    int status{200};
    std::string content_type{"application/json"};
    std::map<std::string, std::string> headers;
    std::string body;
};

/// HTTP server with one thread for each connection. The handler runs on these threads and must be
/// thread-safe. A request is refused with the outcome `not-run`, without calling the handler, when
/// its body is longer than the limit, shorter than its Content-Length or chunked.
class http_service {
public:
    using handler = std::function<http_answer(const http_request&)>;

    struct limits {
        int max_connections{256};
        std::size_t max_body_bytes{std::size_t{1024} * 1024};
    };

    /// Binds and starts to serve. Throws Poco::Exception when the address cannot be bound.
    http_service(const endpoint& address, const limits& bounds, handler function);
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    http_service(http_service&&) = delete;
    http_service& operator=(http_service&&) = delete;
    ~http_service();

    std::uint16_t port() const;

    /// Answers from now on ask the client to close its connection. Thread-safe.
    void disable_keep_alive() { stopping_ = true; }

    /// Number of requests being handled. Thread-safe.
    int active() const { return active_; }

    /// Stops accepting connections and waits for requests in progress.
    void stop();

private:
    std::atomic<bool> stopping_{false};
    std::atomic<int> active_{0};
    Poco::ThreadPool pool_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace egretstile::daemon
