#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_server.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

namespace egretstile {
namespace {

/// More than the system buffers for a connection.
constexpr std::size_t body_bytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t read_bytes = std::size_t{256} * 1024;
constexpr milliseconds time_limit{10000};

void run_briefly(event_loop& loop) {
    loop.call_at(boot_now() + milliseconds(1), [&loop] { loop.stop(); });
    loop.run();
}

/// Whether the header and the whole body have arrived.
bool is_whole(const std::string& response) {
    const std::size_t end_of_head = response.find("\r\n\r\n");
    return end_of_head != std::string::npos && response.size() == end_of_head + 4 + body_bytes;
}

} // namespace

// Guards against a connection that is closed in the middle of a response because the client reads
// more slowly than the server sends.
TEST_CASE("a client that reads slowly gets the whole response") {
    event_loop loop;
    http_server server(loop, endpoint{"127.0.0.1", 0}, {},
                       [](http_request&& /*request*/, const http_server::responder& respond) {
                           http_response response;
                           response.status = 200;
                           response.body = std::string(body_bytes, 'x');
                           respond(std::move(response));
                       });
    Poco::Net::StreamSocket client(Poco::Net::SocketAddress("127.0.0.1", server.port()));
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    client.sendBytes(request.data(), static_cast<int>(request.size()));
    client.setBlocking(false);
    // The server sends what fits before the client reads anything.
    for (int round = 0; round < 100; ++round) {
        run_briefly(loop);
    }
    std::string received;
    std::string chunk(read_bytes, '\0');
    const boot_time end = boot_now() + time_limit;
    bool ended = false;
    while (!is_whole(received) && !ended && boot_now() < end) {
        run_briefly(loop);
        const int count = client.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        ended = count == 0; // Negative: nothing has arrived.
        received.append(chunk, 0, static_cast<std::size_t>(std::max(count, 0)));
    }
    CHECK_FALSE(ended);
    CHECK(is_whole(received));
}

} // namespace egretstile
