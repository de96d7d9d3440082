#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace egretstile::platform::standins {

/// Where requests are sent: method, path and virtual host of each.
struct request_target {
    std::string method{"POST"};
    std::string path;
    std::string host;
};

/// What one client sends, in this order. All sizes are in bytes.
struct client_script {
    std::string opening;
    /// Sent over and over after the opening.
    std::string repeated;
    /// Total size of the repeated part; its last repetition may be cut off.
    std::uint64_t repeated_bytes{0};
    /// Sent when `client_crowd::finish` is called.
    std::string ending;
    /// Largest part that is passed to the kernel at once.
    std::size_t piece{std::size_t{64} * 1024};
    /// The client stops reading responses after this many bytes.
    std::uint64_t read_bytes{std::numeric_limits<std::uint64_t>::max()};
};

/// Header block of a request, with the empty line that ends it. `fields` are further header lines.
std::string request_head(const request_target& target, const std::string& fields);

/// A body of `size` bytes that stops 10 bytes short of its end.
client_script incomplete_body(const request_target& target, std::uint64_t size);

/// The same with chunked transfer encoding, in chunks of 1,000 bytes.
client_script incomplete_chunked_body(const request_target& target, std::uint64_t size);

/// A job with `size` bytes of members and array elements of two to six bytes each. The last bytes
/// are sent by `finish`.
client_script many_json_fields(const request_target& target, std::size_t size);

/// A header block of `size` bytes with fields of five bytes each. The last bytes are sent by
/// `finish`.
client_script many_header_fields(const request_target& target, std::size_t size);

/// A header block that does not end within `size` bytes.
client_script endless_header(const request_target& target, std::uint64_t size);

/// `first`, followed by `size` bytes of GET requests, without reading the responses.
client_script pipelined_requests(const std::string& first, const request_target& target,
                                 std::uint64_t size);

} // namespace egretstile::platform::standins
