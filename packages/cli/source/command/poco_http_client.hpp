#pragma once

#include "command/http_client.hpp"

#include <chrono>

namespace egretstile::cli {

/// HTTP client that opens a new connection for each call. Not thread-safe.
class poco_http_client : public http_client {
public:
    /// `timeout` limits the connection attempt and, separately, each wait for data.
    explicit poco_http_client(std::chrono::milliseconds timeout);

    std::variant<http_response, http_failure> send(const http_request& request) override;

private:
    std::chrono::milliseconds timeout_;
};

} // namespace egretstile::cli
