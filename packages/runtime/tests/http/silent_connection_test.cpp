#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_client.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {
namespace {

constexpr milliseconds call_timeout{100};

/// HTTP server whose open connections can fall silent: they stay open, but nothing is answered on
/// them any more. Connections that are accepted later work.
class silenceable_server {
public:
    explicit silenceable_server(event_loop& loop)
        : loop_(loop)
        , listener_(Poco::Net::SocketAddress("127.0.0.1", 0)) {
        loop_.watch(listener_, Poco::Net::PollSet::POLL_READ, [this](int /*mode*/) { accept(); });
    }

    silenceable_server(const silenceable_server&) = delete;
    silenceable_server& operator=(const silenceable_server&) = delete;
    silenceable_server(silenceable_server&&) = delete;
    silenceable_server& operator=(silenceable_server&&) = delete;
    ~silenceable_server() = default;

    std::uint16_t port() const { return listener_.address().port(); }

    std::size_t accepted() const { return accepted_.size(); }

    void silence_open_connections() {
        for (const Poco::Net::StreamSocket& connection : accepted_) {
            loop_.unwatch(connection);
        }
    }

private:
    void accept() {
        Poco::Net::StreamSocket connection = listener_.acceptConnection();
        accepted_.push_back(connection);
        loop_.watch(connection, Poco::Net::PollSet::POLL_READ,
                    [this, connection](int /*mode*/) { answer(connection); });
    }

    void answer(Poco::Net::StreamSocket connection) {
        std::array<char, 4096> request{};
        if (connection.receiveBytes(request.data(), static_cast<int>(request.size())) <= 0) {
            loop_.unwatch(connection);
            return;
        }
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        connection.sendBytes(response.data(), static_cast<int>(response.size()));
    }

    event_loop& loop_;
    Poco::Net::ServerSocket listener_;
    std::vector<Poco::Net::StreamSocket> accepted_;
};

http_request get() {
    http_request request;
    request.method = "GET";
    request.path = "/";
    return request;
}

/// Runs the loop until `done` returns true, for at most 5 s.
void run_until(event_loop& loop, const std::function<bool()>& done) {
    const boot_time limit = boot_now() + milliseconds(5000);
    std::function<void()> check = [&] {
        if (done() || boot_now() >= limit) {
            loop.stop();
        } else {
            loop.call_at(boot_now() + milliseconds(2), check);
        }
    };
    check();
    loop.run();
}

} // namespace

// Guards against a client that is out of contact for one time-out after another, because it sends
// each new call on another connection that has fallen silent together with the first.
TEST_CASE("after a call without an answer the next call does not use a connection as old") {
    constexpr std::size_t connection_count = 6;
    event_loop loop;
    silenceable_server server(loop);
    http_client client(loop, {"127.0.0.1", server.port()});
    std::size_t answered = 0;
    for (std::size_t call = 0; call < connection_count; ++call) {
        client.call(get(), call_timeout, [&answered](http_result&& result) {
            answered += std::holds_alternative<http_response>(result) ? 1 : 0;
        });
    }
    std::optional<http_result> first;
    std::optional<http_result> second;
    const auto make_two_calls = [&] {
        server.silence_open_connections();
        client.call(get(), call_timeout, [&](http_result&& result) {
            first = std::move(result);
            client.call(get(), call_timeout,
                        [&second](http_result&& answer) { second = std::move(answer); });
        });
    };
    bool called = false;
    run_until(loop, [&] {
        if (answered == connection_count && !std::exchange(called, true)) {
            make_two_calls();
        }
        return second.has_value();
    });
    REQUIRE(server.accepted() >= connection_count);
    REQUIRE(first.has_value());
    CHECK(std::get<http_failure>(*first).kind == http_failure_kind::timed_out);
    CHECK(std::get<http_failure>(*first).sent);
    REQUIRE(second.has_value());
    CHECK(std::holds_alternative<http_response>(*second));
}

} // namespace egretstile
