#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/net/keep_alive.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <functional>
#include <string>
#include <vector>

namespace egretstile {
namespace {

constexpr milliseconds idle_limit{300};

/// A server with a short idle limit, and connections of clients that are given bytes by the test.
class idle_server {
public:
    Poco::Net::StreamSocket connect() const {
        return Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", server.port()));
    }

    /// Runs the loop until `done` returns true, for at most 5 s.
    bool run_until(const std::function<bool()>& done) {
        const boot_time limit = boot_now() + milliseconds(5000);
        while (!done() && boot_now() < limit) {
            loop.call_at(boot_now() + milliseconds(5), [this] { loop.stop(); });
            loop.run();
        }
        return done();
    }

    event_loop loop;
    std::vector<http_server::responder> pending;
    http_server server{loop,
                       {"127.0.0.1", 0},
                       {.idle_limit = idle_limit},
                       [this](http_request&&, http_server::responder respond) {
                           pending.push_back(std::move(respond));
                       }};
};

void send(Poco::Net::StreamSocket& client, const std::string& bytes) {
    client.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

const std::string request = "GET / HTTP/1.1\r\nHost: here\r\n\r\n";

} // namespace

// Guards against callers' connections that fall silent and stay open until the entry has no
// connections left for others.
TEST_CASE("a connection on which no request arrives is closed") {
    idle_server served;
    const Poco::Net::StreamSocket silent = served.connect();
    REQUIRE(served.run_until([&] { return served.server.connections() == 1; }));
    const boot_time accepted_at = boot_now();
    CHECK(served.run_until([&] { return served.server.connections() == 0; }));
    CHECK(boot_now() - accepted_at >= idle_limit / 2);
}

// Guards against clients that send the beginning of a request and nothing more.
TEST_CASE("a connection on which a request stays incomplete is closed") {
    idle_server served;
    Poco::Net::StreamSocket client = served.connect();
    send(client, request.substr(0, 10));
    REQUIRE(served.run_until([&] { return served.server.connections() == 1; }));
    CHECK(served.run_until([&] { return served.server.connections() == 0; }));
    CHECK(served.pending.empty());
}

// Guards against a request whose answer takes longer than the limit and is cut off.
TEST_CASE("a connection with a request that is being handled stays open") {
    idle_server served;
    Poco::Net::StreamSocket client = served.connect();
    send(client, request);
    REQUIRE(served.run_until([&] { return served.pending.size() == 1; }));
    const boot_time handled_at = boot_now();
    served.run_until([&] { return boot_now() >= handled_at + 3 * idle_limit; });
    REQUIRE(served.server.connections() == 1);
    served.pending.front()(http_response());
    served.run_until([&] { return client.available() > 0; });
    CHECK(client.available() > 0);
    CHECK(served.server.connections() == 1);
    // The limit counts from the answer on.
    CHECK(served.run_until([&] { return served.server.connections() == 0; }));
}

// Guards against connections to a peer without power, which the kernel keeps for hours.
TEST_CASE("the kernel probes idle connections and gives up after about ten seconds") {
    const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket connection(listener.address());
    enable_keep_alive(connection);
    CHECK(connection.getKeepAlive());
    int idle_s = 0;
    int interval_s = 0;
    int probes = 0;
    int unacknowledged_ms = 0;
    connection.getOption(IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
    connection.getOption(IPPROTO_TCP, TCP_KEEPINTVL, interval_s);
    connection.getOption(IPPROTO_TCP, TCP_KEEPCNT, probes);
    connection.getOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
    CHECK(idle_s + interval_s * probes == 10);
    CHECK(unacknowledged_ms == 10000);
}

} // namespace egretstile
