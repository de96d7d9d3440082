#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::standins {

/// A request as a route's handler sees it.
struct service_call {
    std::string method;
    /// Decoded path segments that matched the `*` of the route, in order.
    std::vector<std::string> parameters;
    std::map<std::string, std::string> query;
    /// Header names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of the query parameter, or `otherwise`.
    std::string text(const std::string& name, const std::string& otherwise = "") const;
    /// Numeric value of the query parameter, or `otherwise` when absent. Throws std::exception for
    /// anything but a number; the service answers 400.
    std::uint64_t number(const std::string& name, std::uint64_t otherwise) const;
    std::string header(const std::string& lower_case_name) const;
};

/// How much of the answer reaches the caller.
enum class delivery : std::uint8_t {
    whole,
    none,     ///< The connection is closed without an answer.
    truncated ///< The header and half of the body are sent, then the connection is closed.
};

struct service_answer {
    int status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<std::pair<std::string, std::string>> headers;
    delivery delivered{delivery::whole};
};

/// Answer `{"reason": text}` with `status`. `text` must need no JSON escape.
service_answer reason_answer(int status, const std::string& text);

} // namespace egretstile::standins
