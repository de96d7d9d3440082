#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace egretstile::cli {

struct server_address {
    std::string host;
    std::uint16_t port{0};
};

struct http_request {
    server_address server;
    std::string method{"GET"};
    /// Path and query, percent-encoded.
    std::string path;
    /// Sent as `Authorization: Bearer TOKEN`; not sent when empty.
    std::string token;
    /// Empty when there is no body.
    std::string content_type;
    std::string body;
};

struct http_response {
    int status{0};
    /// Value of the header `Egretstile-Outcome`; empty when absent.
    std::string outcome;
    std::string body;
};

/// Why a call has no response.
enum class http_failure_kind : std::uint8_t {
    not_sent,   ///< No connection; the server received no part of the request.
    no_response ///< The server may have carried out the request.
};

struct http_failure {
    http_failure_kind kind{http_failure_kind::no_response};
    std::string reason;
};

/// Makes one HTTP call. Implementations are not thread-safe.
class http_client {
public:
    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    virtual ~http_client() = default;

    virtual std::variant<http_response, http_failure> send(const http_request& request) = 0;
};

} // namespace egretstile::cli
