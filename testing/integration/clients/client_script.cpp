#include "client_script.hpp"

#include <iomanip>
#include <sstream>

namespace egretstile::platform::standins {

namespace {

/// An incomplete body lacks this many bytes.
constexpr std::size_t missing_bytes = 10;
constexpr std::size_t chunk_bytes = 1000;
/// Enough repetitions for a whole piece, so that a small unit does not make small writes.
constexpr std::size_t repeated_unit_bytes = std::size_t{64} * 1024;

std::string repeat(const std::string& unit, std::size_t size) {
    std::string text;
    while (text.size() + unit.size() <= size) {
        text += unit;
    }
    return text;
}

std::string content_length(std::uint64_t size) {
    return "Content-Length: " + std::to_string(size) + "\r\n";
}

/// Moves the last bytes of the opening to the ending.
client_script held_back(std::string text) {
    client_script script;
    script.ending = text.substr(text.size() - missing_bytes);
    text.resize(text.size() - missing_bytes);
    script.opening = std::move(text);
    return script;
}

} // namespace

std::string request_head(const request_target& target, const std::string& fields) {
    return target.method + " " + target.path + " HTTP/1.1\r\nHost: " + target.host + "\r\n" +
           fields + "\r\n";
}

client_script incomplete_body(const request_target& target, std::uint64_t size) {
    client_script script;
    script.opening = request_head(target, content_length(size));
    script.repeated = std::string(repeated_unit_bytes, 'x');
    script.repeated_bytes = size - missing_bytes;
    return script;
}

client_script incomplete_chunked_body(const request_target& target, std::uint64_t size) {
    std::ostringstream chunk;
    chunk << std::hex << chunk_bytes << "\r\n" << std::string(chunk_bytes, 'x') << "\r\n";
    client_script script;
    script.opening = request_head(target, "Transfer-Encoding: chunked\r\n");
    script.repeated = repeat(chunk.str(), repeated_unit_bytes);
    script.repeated_bytes = size - missing_bytes;
    return script;
}

client_script many_json_fields(const request_target& target, std::size_t size) {
    const std::string start =
        R"({"spec":"work","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100,)";
    const std::string elements = R"("b":0}],"list":[)" + repeat("0,", size / 2) + "0]}";
    const std::string members = repeat(R"("a":0,)", size - start.size() - elements.size());
    const std::string body = start + members + elements;
    return held_back(request_head(target, content_length(body.size())) + body);
}

client_script many_header_fields(const request_target& target, std::size_t size) {
    const std::string bare = request_head(target, "");
    return held_back(request_head(target, repeat("a:b\r\n", size - bare.size())));
}

client_script endless_header(const request_target& target, std::uint64_t size) {
    client_script script;
    script.opening =
        target.method + " " + target.path + " HTTP/1.1\r\nHost: " + target.host + "\r\n";
    script.repeated = repeat("a:b\r\n", repeated_unit_bytes);
    script.repeated_bytes = size;
    return script;
}

client_script pipelined_requests(const std::string& first, const request_target& target,
                                 std::uint64_t size) {
    client_script script;
    script.opening = first;
    script.repeated = repeat(request_head(target, ""), repeated_unit_bytes);
    script.repeated_bytes = size;
    script.read_bytes = 0;
    return script;
}

} // namespace egretstile::platform::standins
