#include <egretstile/runtime/http/http_message.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {

// Guards against many short parameters whose memory is many times that of the header.
TEST_CASE("a request with very many parameters is malformed") {
    const auto parses = [](std::size_t parameters) {
        std::string target = "/?a=b";
        for (std::size_t number = 1; number < parameters; ++number) {
            target += "&p" + std::to_string(number) + "=v";
        }
        http_request request;
        return parse_request_head("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", request)
            .has_value();
    };
    CHECK(parses(256));
    CHECK_FALSE(parses(257));
}

} // namespace egretstile
