#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretstile {

/// Network address as written in the settings: an IP address and a port. When a server binds to
/// port 0, the kernel chooses the port.
struct endpoint {
    std::string host{"127.0.0.1"};
    std::uint16_t port{0};

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Parses "IP:PORT", with an IPv6 address in brackets; returns nothing for any other text,
/// including host names. Thread-safe.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats the address in the form that `parse_endpoint` accepts. Thread-safe.
std::string to_string(const endpoint& address);

} // namespace egretstile
