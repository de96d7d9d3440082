#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace egretstile {

/// Header fields by their names in lower case.
using http_headers = std::map<std::string, std::string>;

/// A request with its complete body.
struct http_request {
    std::string method;
    /// Path without the query string.
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string body;

    /// Value of the header with the lower-case name `name`, or `fallback` when it is absent.
    /// Thread-safe.
    std::string header(const std::string& name, const std::string& fallback = "") const;
};

/// A response with its complete body.
struct http_response {
    int status{200};
    http_headers headers;
    std::string body;
};

/// Framing information from the start line and the headers of a message.
struct http_head {
    /// Size of the start line and the headers, including the empty line that ends them.
    std::size_t bytes{0};
    std::size_t content_length{0};
    /// Whether the body uses chunked transfer encoding, which this implementation does not support.
    bool chunked{false};
    bool keep_alive{true};
};

/// Parse the start line and the headers into `request` or `response`; return nothing when they are
/// malformed. `text` must end with the empty line after the headers. Thread-safe.
std::optional<http_head> parse_request_head(std::string_view text, http_request& request);
std::optional<http_head> parse_response_head(std::string_view text, http_response& response);

/// Serialize a message for sending, with its `Content-Length`. Thread-safe.
std::string format_request(const http_request& request, const std::string& host);
std::string format_response(const http_response& response, bool keep_alive);

} // namespace egretstile
