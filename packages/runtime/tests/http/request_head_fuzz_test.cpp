#include "allocation_peak.hpp"
#include "fuzz_check.hpp"

#include <egretstile/runtime/http/http_message.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <string_view>

namespace egretstile {
namespace {

constexpr std::size_t max_head_bytes = 16384;
/// A pair of strings for each parameter of two bytes, in a vector that grows, and a copy in a map.
constexpr std::size_t memory_factor = 256;
constexpr std::size_t memory_for_empty_head = std::size_t{64} * 1024;

/// `unit` repeated up to a random size.
std::string repeated(const std::string& unit) {
    const std::size_t size = *rc::gen::inRange<std::size_t>(0, max_head_bytes);
    std::string text;
    while (text.size() + unit.size() <= size) {
        text += unit;
    }
    return text;
}

std::string any_head() {
    const std::string method = *rc::gen::element<std::string>("GET", "POST", "", "\xff");
    const std::string target = *rc::gen::element<std::string>("/", "/queue/00000000000000cc", "/?",
                                                              "/?a=%", "http://h:x/");
    const std::string parameters =
        repeated(*rc::gen::element<std::string>("a&", "a=b&", "%41", "%", "=", "&", "#", "/", "?"));
    const std::string version = *rc::gen::element<std::string>(" HTTP/1.1", " HTTP/9", "", "\t");
    const std::string fields = repeated(*rc::gen::element<std::string>(
        "a:b\r\n", "a:\r\n", ":\r\n", "\n", " folded\r\n", "Content-Length: -1\r\n",
        "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n", "x"));
    return testing::damaged(method + " " + target + parameters + version + "\r\n" + fields) +
           "\r\n\r\n";
}

} // namespace

// Guards against a header block that ends the process or needs memory out of proportion to its
// size.
TEST_CASE("any header block is parsed or refused within a bound of memory") {
    testing::check_fuzzed(
        [] {
            const std::string text = any_head();
            const testing::allocation_peak peak;
            http_request request;
            parse_request_head(text, request);
            RC_ASSERT(peak.bytes() <= memory_factor * text.size() + memory_for_empty_head);
        },
        2000);
}

} // namespace egretstile
