#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_client.hpp>
#include <egretstile/runtime/http/http_server.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace egretstile {
namespace {

http_request get(const std::string& path) {
    http_request request;
    request.method = "GET";
    request.path = path;
    return request;
}

/// Runs the loop until `done` returns true, for at most 5 s.
void run_until(event_loop& loop, const std::function<bool()>& done) {
    loop.call_every(milliseconds(2), [&loop, done] {
        if (done()) {
            loop.stop();
        }
    });
    loop.call_at(boot_now() + milliseconds(5000), [&loop] { loop.stop(); });
    loop.run();
}

// Guards against responses that are delivered to the wrong call when the server responds to
// concurrent calls in another order than it received them.
TEST_CASE("concurrent calls get their own responses when the server responds out of order") {
    event_loop loop;
    std::vector<std::pair<std::string, http_server::responder>> pending;
    http_server server(loop, {"127.0.0.1", 0}, {},
                       [&pending](http_request&& request, http_server::responder respond) {
                           pending.emplace_back(request.path, std::move(respond));
                           if (pending.size() == 3) {
                               for (auto call = pending.rbegin(); call != pending.rend(); ++call) {
                                   http_response response;
                                   response.body = call->first;
                                   call->second(std::move(response));
                               }
                           }
                       });
    http_client client(loop, {"127.0.0.1", server.port()});
    std::vector<std::pair<std::string, std::string>> answers;
    for (const std::string path : {"/a", "/b", "/c"}) {
        client.call(get(path), milliseconds(3000), [&answers, path](http_result&& result) {
            answers.emplace_back(path, std::get<http_response>(result).body);
        });
    }
    run_until(loop, [&answers] { return answers.size() == 3; });
    REQUIRE(answers.size() == 3);
    for (const auto& [path, body] : answers) {
        CHECK(path == body);
    }
}

// Guards against a call that never ends because the server does not respond, and against a late
// response that is delivered to the next call on the same connection.
TEST_CASE("a call without a response times out and its connection is not reused") {
    event_loop loop;
    std::vector<http_server::responder> pending;
    http_server server(loop, {"127.0.0.1", 0}, {},
                       [&pending](http_request&& request, http_server::responder respond) {
                           if (request.path == "/slow") {
                               pending.push_back(std::move(respond));
                               return;
                           }
                           http_response response;
                           response.body = "second";
                           respond(std::move(response));
                       });
    http_client client(loop, {"127.0.0.1", server.port()});
    std::optional<http_result> first;
    std::optional<http_result> second;
    client.call(get("/slow"), milliseconds(50), [&](http_result&& result) {
        first = std::move(result);
        http_response late;
        late.body = "first";
        pending.front()(std::move(late));
        client.call(get("/fast"), milliseconds(3000),
                    [&second](http_result&& answer) { second = std::move(answer); });
    });
    run_until(loop, [&second] { return second.has_value(); });
    REQUIRE(first.has_value());
    CHECK(std::get<http_failure>(*first).kind == http_failure_kind::timed_out);
    CHECK(std::get<http_failure>(*first).sent);
    REQUIRE(second.has_value());
    CHECK(std::get<http_response>(*second).body == "second");
}

/// Server that accepts one connection and responds with a body of `chunks` bytes, one per
/// `interval`.
class slow_server {
public:
    slow_server(std::size_t chunks, milliseconds interval)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
        , thread_([this, chunks, interval] { serve(chunks, interval); }) {}

    slow_server(const slow_server&) = delete;
    slow_server& operator=(const slow_server&) = delete;
    slow_server(slow_server&&) = delete;
    slow_server& operator=(slow_server&&) = delete;

    ~slow_server() { thread_.join(); }

    std::uint16_t port() const { return socket_.address().port(); }

private:
    void serve(std::size_t chunks, milliseconds interval) {
        try {
            Poco::Net::StreamSocket connection = socket_.acceptConnection();
            std::string request(1000, '\0');
            connection.receiveBytes(request.data(), static_cast<int>(request.size()));
            const std::string head =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(chunks) + "\r\n\r\n";
            connection.sendBytes(head.data(), static_cast<int>(head.size()));
            for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
                std::this_thread::sleep_for(interval);
                connection.sendBytes("x", 1);
            }
        } catch (const Poco::Exception&) {
            // The client has closed the connection.
        }
    }

    Poco::Net::ServerSocket socket_;
    std::thread thread_;
};

// Guards against a leader on a slow link that requests the same large page again and again, because
// its transfer takes longer than the timeout of the call.
TEST_CASE("a response that keeps arriving may take longer than the timeout") {
    event_loop loop;
    slow_server server(20, milliseconds(50));
    http_client client(loop, {"127.0.0.1", server.port()});
    std::optional<http_result> result;
    client.call(get("/"), milliseconds(400),
                [&result](http_result&& answer) { result = std::move(answer); });
    run_until(loop, [&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    REQUIRE(std::holds_alternative<http_response>(*result));
    CHECK(std::get<http_response>(*result).body.size() == 20);
}

// Guards against a call that never ends because the server stops in the middle of a response.
TEST_CASE("a response that stops arriving fails after the timeout") {
    event_loop loop;
    slow_server server(2, milliseconds(1500));
    http_client client(loop, {"127.0.0.1", server.port()});
    std::optional<http_result> result;
    client.call(get("/"), milliseconds(200),
                [&result](http_result&& answer) { result = std::move(answer); });
    const boot_time sent_at = boot_now();
    run_until(loop, [&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    CHECK(std::get<http_failure>(*result).kind == http_failure_kind::timed_out);
    CHECK(std::get<http_failure>(*result).sent);
    CHECK(boot_now() - sent_at < milliseconds(1400));
}

// Guards against treating a task runner that has exited as one that is only slow to respond.
TEST_CASE("a refused connection is reported as refused, not as a missing response") {
    event_loop loop;
    std::uint16_t port = 0;
    {
        const Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
        port = closed.address().port();
    }
    http_client client(loop, {"127.0.0.1", port});
    std::optional<http_result> result;
    client.call(get("/"), milliseconds(2000),
                [&result](http_result&& answer) { result = std::move(answer); });
    run_until(loop, [&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    CHECK(std::get<http_failure>(*result).kind == http_failure_kind::refused);
    CHECK_FALSE(std::get<http_failure>(*result).sent);
}

// Guards against tasks that run twice, because a reset of a connection that was accepted is taken
// for a server that has exited.
TEST_CASE("a connection that is reset once it is open is not reported as refused") {
    event_loop loop;
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    http_client client(loop, {"127.0.0.1", server.address().port()});
    std::optional<http_result> result;
    client.call(get("/"), milliseconds(2000),
                [&result](http_result&& answer) { result = std::move(answer); });
    {
        // The reset arrives before the client's loop has seen that the connection is open.
        Poco::Net::StreamSocket connection = server.acceptConnection();
        connection.setLinger(true, 0);
        connection.close();
    }
    run_until(loop, [&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    CHECK(std::get<http_failure>(*result).kind != http_failure_kind::refused);
}

// Pattern: a burst of calls to one server. Guards against connections beyond the server's limit,
// which it resets, so that it is not known which calls had an effect.
TEST_CASE("calls beyond the limit of connections wait and are sent in order") {
    event_loop loop;
    std::vector<std::string> handled;
    std::size_t most_connections = 0;
    http_server* running = nullptr;
    http_server server(loop, {"127.0.0.1", 0}, {},
                       [&](http_request&& request, const http_server::responder& respond) {
                           handled.push_back(request.path);
                           most_connections = std::max(most_connections, running->connections());
                           loop.call_at(boot_now() + milliseconds(2),
                                        [respond] { respond(http_response()); });
                       });
    running = &server;
    http_client client(loop, {"127.0.0.1", server.port()}, 2);
    std::vector<std::string> expected;
    std::size_t answered = 0;
    for (int number = 10; number < 30; ++number) {
        expected.push_back("/" + std::to_string(number));
        client.call(get(expected.back()), milliseconds(3000), [&answered](http_result&& result) {
            answered += std::holds_alternative<http_response>(result) ? 1 : 0;
        });
    }
    run_until(loop, [&answered] { return answered == 20; });
    CHECK(answered == 20);
    CHECK(most_connections == 2);
    std::sort(handled.begin(), handled.end());
    CHECK(handled == expected);
}

// Guards against a call that waits without end for a connection to a server that does not answer,
// and against one that is reported as possibly carried out although it was never sent.
TEST_CASE("a call that gets no connection in time fails as not sent") {
    event_loop loop;
    std::vector<http_server::responder> unanswered;
    http_server server(loop, {"127.0.0.1", 0}, {},
                       [&unanswered](http_request&&, http_server::responder respond) {
                           unanswered.push_back(std::move(respond));
                       });
    http_client client(loop, {"127.0.0.1", server.port()}, 1);
    std::vector<http_failure> failures;
    const auto record = [&failures](http_result&& result) {
        failures.push_back(std::get<http_failure>(result));
    };
    client.call(get("/first"), milliseconds(400), record);
    client.call(get("/second"), milliseconds(100), record);
    run_until(loop, [&failures] { return failures.size() == 2; });
    REQUIRE(failures.size() == 2);
    CHECK(failures[0].kind == http_failure_kind::no_connection);
    CHECK_FALSE(failures[0].sent);
    CHECK(failures[1].kind == http_failure_kind::timed_out);
    CHECK(failures[1].sent);
    CHECK(unanswered.size() == 1);
}

// Guards against request bodies beyond the limit that use up the memory of the server.
TEST_CASE("a request with a body beyond the limit is rejected before the handler runs") {
    event_loop loop;
    http_server::limits limits;
    limits.max_body_bytes = 10;
    int handled = 0;
    http_server server(loop, {"127.0.0.1", 0}, limits,
                       [&handled](http_request&&, const http_server::responder& respond) {
                           ++handled;
                           respond(http_response());
                       });
    http_client client(loop, {"127.0.0.1", server.port()});
    http_request large = get("/");
    large.method = "POST";
    large.body = std::string(11, 'x');
    std::optional<http_result> result;
    client.call(std::move(large), milliseconds(2000),
                [&result](http_result&& answer) { result = std::move(answer); });
    run_until(loop, [&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    REQUIRE(std::holds_alternative<http_response>(*result));
    CHECK(std::get<http_response>(*result).status == 413);
    CHECK(handled == 0);
}

} // namespace
} // namespace egretstile
