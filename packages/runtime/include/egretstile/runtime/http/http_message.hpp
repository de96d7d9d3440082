#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace egretstile {

/// Header fields; names in lower case.
using http_headers = std::map<std::string, std::string>;

/// A request with its whole body.
struct http_request {
    std::string method;
    /// Path without the query.
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string body;

    /// Value of a header by its lower-case name, or `fallback`. Thread-safe.
    std::string header(const std::string& name, const std::string& fallback = "") const;
};

/// A response with its whole body.
struct http_response {
    int status{200};
    http_headers headers;
    std::string body;
};

/// First part of a message up to the empty line, as far as the framing needs it.
struct http_head {
    /// Bytes of the head with the empty line.
    std::size_t bytes{0};
    std::size_t content_length{0};
    /// Whether the body is framed by chunks, which this implementation does not read.
    bool chunked{false};
    bool keep_alive{true};
};

/// A parsed head, or nothing when it is malformed. `text` holds the head with its empty line.
/// Thread-safe.
std::optional<http_head> parse_request_head(std::string_view text, http_request& request);
std::optional<http_head> parse_response_head(std::string_view text, http_response& response);

/// Bytes on the wire. Thread-safe.
std::string format_request(const http_request& request, const std::string& host);
std::string format_response(const http_response& response, bool keep_alive);

} // namespace egretstile
