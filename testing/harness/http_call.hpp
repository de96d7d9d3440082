#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace egretstile::harness {

struct http_request {
    std::string method{"GET"};
    /// Path and query, encoded.
    std::string target{"/"};
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::milliseconds timeout{5000};
};

struct http_reply {
    int status{0};
    std::string body;
    /// Header names are in lower case.
    std::map<std::string, std::string> headers;
};

/// Makes one call to a server on the loopback interface over a new connection. `std::nullopt`: no
/// complete answer within the time-out. Thread-safe.
std::optional<http_reply> http_call(std::uint16_t port, const http_request& request);

} // namespace egretstile::harness
