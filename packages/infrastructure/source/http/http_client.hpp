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
    /// Path and query, encoded.
    std::string target;
    std::string body;
    std::string content_type{"application/octet-stream"};
};

struct http_answer {
    int status{0};
    std::string body;
    /// Header `Revision`; empty when absent.
    std::string revision;
};

enum class http_failure : std::uint8_t {
    not_sent, ///< No connection: nothing was sent.
    no_answer ///< The request may have arrived; there is no whole answer.
};

using http_result = std::variant<http_answer, http_failure>;

/// HTTP calls to one server over persistent connections; each concurrent call has its own.
/// Never repeats a call. Thread-safe. The destructor aborts calls in progress and waits for them;
/// no call may start once it runs.
class http_client {
public:
    http_client(std::string host, std::uint16_t port);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    /// `timeout` limits the whole call. Answers must carry a Content-Length, because a truncated
    /// body is not recognisable otherwise.
    http_result call(const http_call& request, milliseconds timeout);

    /// Ends calls in progress with `no_answer`; later calls give `not_sent`.
    void abort() { aborted_ = true; }

private:
    struct connection {
        deadline_socket* socket{nullptr}; ///< Owned by `session`.
        std::unique_ptr<Poco::Net::HTTPClientSession> session;
    };

    std::unique_ptr<connection> take_idle();
    std::unique_ptr<connection> open(deadline_socket::clock::time_point deadline);
    void give_back(std::unique_ptr<connection> used);
    http_result call_counted(const http_call& request, milliseconds timeout);
    http_answer exchange(connection& used, const http_call& request, bool& reusable) const;

    static constexpr std::size_t max_idle = 8;

    std::string host_;
    std::uint16_t port_;
    std::atomic<bool> aborted_{false};
    std::mutex mutex_;
    std::condition_variable idle_;
    std::vector<std::unique_ptr<connection>> idle_connections_;
    int calls_in_progress_{0};
};

} // namespace egretstile::infrastructure
