#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace egretstile {

/// Address as it stands in settings: an IP number and a port; port zero: chosen by the kernel.
struct endpoint {
    std::string host{"127.0.0.1"};
    std::uint16_t port{0};

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Address of "IP:PORT" (an IPv6 address in brackets); nothing for any other text. Thread-safe.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// The address as `parse_endpoint` reads it. Thread-safe.
std::string to_string(const endpoint& address);

} // namespace egretstile
