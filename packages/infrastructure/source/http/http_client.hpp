#pragma once

#include "http/deadline_socket.hpp"

#include <egretstile/core/base/boot_time.hpp>

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::infrastructure {

struct http_call {
    std::string method;
    /// Path and query, percent-encoded.
    std::string target;
    std::string body;
    std::string content_type{"application/octet-stream"};
};

struct http_response {
    int status{0};
    std::string body;
    /// Value of the header `Revision`; empty when absent.
    std::string revision;
};

enum class http_failure : std::uint8_t {
    not_sent, ///< No connection could be opened or the client is aborted: nothing was sent.
    no_answer ///< The request may have arrived, but no complete response was received.
};

using http_result = std::variant<http_response, http_failure>;

/// HTTP client of one server with persistent connections; each concurrent call uses its own. Never
/// retries a call. Thread-safe. The destructor aborts calls in progress and waits for them; no call
/// may start once it runs.
class http_client {
public:
    http_client(std::string host, std::uint16_t port);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// `timeout` limits the whole call. Responses must have a Content-Length header, because a
    /// truncated body could not be recognised otherwise.
    http_result call(const http_call& request, milliseconds timeout);

    /// Ends calls in progress with `no_answer`; later calls return `not_sent`.
    void abort() { aborted_ = true; }

private:
    struct connection {
        deadline_socket* socket{nullptr}; ///< Owned by `session`.
        std::unique_ptr<Poco::Net::HTTPClientSession> session;
    };

    std::unique_ptr<connection> take_idle_connection();
    std::unique_ptr<connection> open(deadline_socket::clock::time_point deadline);
    void return_to_pool(std::unique_ptr<connection> used);
    /// The call itself; `call` counts the calls in progress around it.
    http_result call_on_connection(const http_call& request, milliseconds timeout);
    http_response exchange(connection& used, const http_call& request, bool& reusable) const;

    static constexpr std::size_t max_idle_connections = 8;

    std::string host_;
    std::uint16_t port_;
    std::atomic<bool> aborted_{false};
    std::mutex mutex_;
    std::condition_variable calls_ended_;
    std::vector<std::unique_ptr<connection>> idle_connections_;
    int calls_in_progress_{0};
};

} // namespace egretstile::infrastructure
