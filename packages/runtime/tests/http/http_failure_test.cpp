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

constexpr milliseconds call_timeout{2000};

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

/// Socket that listens on a port of its own; the test decides what it does with a connection.
class listener {
public:
    explicit listener(int backlog = 64)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0), backlog) {}

    endpoint address() const { return {"127.0.0.1", socket_.address().port()}; }

    Poco::Net::StreamSocket accept() { return socket_.acceptConnection(); }

private:
    Poco::Net::ServerSocket socket_;
};

/// A client and its loop.
class caller {
public:
    explicit caller(const endpoint& server)
        : client_(loop_, server) {}

    /// Starts a call; the loop does not run yet.
    void start_call(milliseconds timeout = call_timeout) {
        result_.reset();
        http_request request;
        request.method = "GET";
        request.path = "/";
        client_.call(std::move(request), timeout,
                     [this](http_result&& answer) { result_ = std::move(answer); });
        REQUIRE_FALSE(result_.has_value());
    }

    /// Runs the loop until the request has arrived on `connection`, and reads it.
    void send_request(Poco::Net::StreamSocket& connection) {
        run_until(loop_, [&connection] {
            return connection.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        });
        std::array<char, 4096> request{};
        REQUIRE(connection.receiveBytes(request.data(), static_cast<int>(request.size())) > 0);
    }

    http_result wait_for_result() {
        run_until(loop_, [this] { return result_.has_value(); });
        REQUIRE(result_.has_value());
        return *result_;
    }

    http_failure wait_for_failure() {
        const http_result result = wait_for_result();
        REQUIRE(std::holds_alternative<http_failure>(result));
        return std::get<http_failure>(result);
    }

private:
    event_loop loop_;
    std::optional<http_result> result_;
    http_client client_;
};

std::string name_of_kind(const http_failure& failure) {
    return std::string(name_of(http_failure_kind_names, failure.kind));
}

void send_text(Poco::Net::StreamSocket& connection, const std::string& text) {
    connection.sendBytes(text.data(), static_cast<int>(text.size()));
}

void reset(Poco::Net::StreamSocket& connection) {
    connection.setLinger(true, 0);
    connection.close();
}

} // namespace

// Guards against tasks that run twice, because a reset of a new connection, which may arrive before
// the client has seen that it is open, is taken for a server that has exited.
TEST_CASE("a reset of a new connection is reported as a reset") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    reset(connection);
    CHECK(name_of_kind(client.wait_for_failure()) == "reset");
}

// Guards against a call that is repeated as one without effect after the server has read it.
TEST_CASE("a reset after the request is reported as a reset of a sent call") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    reset(connection);
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "reset");
    CHECK(failure.sent);
}

// Guards against a reset that is reported as a close, because the kernel reports it once, to the
// write that fails, and the socket reads as closed afterwards.
TEST_CASE("a reset of an idle connection is reported as a reset to the next call") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    send_text(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(std::holds_alternative<http_response>(client.wait_for_result()));
    reset(connection);
    client.start_call();
    CHECK(name_of_kind(client.wait_for_failure()) == "reset");
}

// Guards against a server that is overloaded or frozen, and whose tasks go on, being taken for one
// that has exited, because it does not accept the connection.
TEST_CASE("a connection that is not accepted in time is reported as timed out and not sent") {
    listener server(1);
    // Connections are left in the server's queue until the kernel accepts no further one.
    constexpr std::size_t most_queued = 16;
    std::vector<Poco::Net::StreamSocket> queued;
    bool full = false;
    while (!full && queued.size() < most_queued) {
        try {
            Poco::Net::StreamSocket connection;
            connection.connect(
                Poco::Net::SocketAddress(server.address().host, server.address().port),
                Poco::Timespan(100 * Poco::Timespan::MILLISECONDS));
            queued.push_back(std::move(connection));
        } catch (const Poco::TimeoutException&) {
            full = true;
        }
    }
    REQUIRE(full);
    caller client(server.address());
    client.start_call(milliseconds(100));
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "timed_out");
    CHECK_FALSE(failure.sent);
}

// Guards against a call that is repeated as one without effect although the server has it.
TEST_CASE("a request that is read and not answered is reported as timed out and sent") {
    listener server;
    caller client(server.address());
    client.start_call(milliseconds(100));
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "timed_out");
    CHECK(failure.sent);
}

// Guards against a server that closes new connections, for example at its limit, being taken for
// one that has exited.
TEST_CASE("a new connection that the server closes is reported as closed") {
    listener server;
    caller client(server.address());
    client.start_call();
    server.accept().close();
    CHECK(name_of_kind(client.wait_for_failure()) == "closed");
}

// Guards against a call that is repeated as one without effect after the server has read it.
TEST_CASE("a connection that the server closes without a response is reported as closed and sent") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    connection.close();
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "closed");
    CHECK(failure.sent);
}

// Guards against a part of a response that is taken for the whole.
TEST_CASE("a connection that the server closes in its response is reported as closed and sent") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    send_text(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    connection.close();
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "closed");
    CHECK(failure.sent);
}

// Guards against a mistake in a server's address that is taken for a server that has exited.
TEST_CASE("an address that cannot be resolved is reported as unresolved and not sent") {
    // A label of a host name has at most 63 characters, so no name server is asked.
    caller client(endpoint{std::string(64, 'x'), 80});
    client.start_call();
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "unresolved");
    CHECK_FALSE(failure.sent);
}

// Guards against a failure of the connect itself that is taken for a server that has exited.
TEST_CASE("an address without a route is reported as no connection and not sent") {
    // The kernel connects no TCP socket to the broadcast address.
    caller client(endpoint{"255.255.255.255", 80});
    client.start_call();
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "no_connection");
    CHECK_FALSE(failure.sent);
}

// Guards against a response that is not HTTP being reported without saying that the call was sent.
TEST_CASE("a response that is not HTTP is reported as malformed and sent") {
    listener server;
    caller client(server.address());
    client.start_call();
    Poco::Net::StreamSocket connection = server.accept();
    client.send_request(connection);
    send_text(connection, "not HTTP\r\n\r\n");
    const http_failure failure = client.wait_for_failure();
    CHECK(name_of_kind(failure) == "malformed");
    CHECK(failure.sent);
}

} // namespace egretstile
