#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::standins {

/// HTTP request as it is passed to the handler of a route.
struct service_call {
    std::string method;
    /// Decoded path segments that `*` matched, in the order of the path.
    std::vector<std::string> parameters;
    std::map<std::string, std::string> query;
    /// Header names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of the query parameter, or `default_value` when it is absent.
    std::string text(const std::string& name, const std::string& default_value = "") const;
    /// Numeric value of the query parameter, or `default_value` when it is absent. Throws
    /// std::exception when the value is not a number; the service then answers 400.
    std::uint64_t number(const std::string& name, std::uint64_t default_value) const;
    /// Value of the header, or an empty string when it is absent.
    std::string header(const std::string& lower_case_name) const;
};

/// Which part of the answer the service sends.
enum class delivery : std::uint8_t {
    complete,
    none,     ///< The connection is closed without an answer.
    truncated ///< The headers and half of the body are sent, then the connection is closed.
};

struct service_answer {
    int status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<std::pair<std::string, std::string>> headers;
    delivery delivered{delivery::complete};
};

/// Answer with `status` and the body `{"reason": text}`. `text` is not escaped, so it must not
/// contain characters that JSON escapes.
service_answer reason_answer(int status, const std::string& text);

} // namespace egretstile::standins
