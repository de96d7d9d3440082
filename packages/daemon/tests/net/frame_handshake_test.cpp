#include "net/frame_server.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace egretstile::daemon {
namespace {

/// Shorter than the time after which the server closes a connection without a handshake.
constexpr milliseconds observed_time{800};

/// A server for peers, and clients that do not have the deployment's key.
class guarded_server {
public:
    explicit guarded_server(std::size_t max_handshakes)
        : server(loop, endpoint{"127.0.0.1", 0}, "key", {wire::peer_role::entry, "entry", 0},
                 frame_connection::handlers{
                     [](frame_connection& /*connection*/, wire::message&& /*message*/) {},
                     [](frame_connection& /*connection*/, const wire::hello& /*hello*/) {},
                     [](frame_connection& /*connection*/) {}},
                 max_handshakes) {}

    Poco::Net::StreamSocket connect() {
        Poco::Net::StreamSocket client(Poco::Net::SocketAddress("127.0.0.1", server.port()));
        client.setBlocking(false);
        return client;
    }

    void run() {
        loop.call_at(boot_now() + observed_time, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    frame_server server;
};

bool is_closed(Poco::Net::StreamSocket& client) {
    std::array<char, 4096> chunk{};
    try {
        int received = 1;
        while (received > 0) {
            received = client.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        }
        return received == 0; // Negative: nothing to read.
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true;
    }
}

} // namespace

// Guards against a client without the key that makes the process buffer the largest frame.
TEST_CASE("a peer that has not authenticated is not buffered beyond the handshake") {
    guarded_server guarded(8);
    Poco::Net::StreamSocket client = guarded.connect();
    // A nonce, and the beginning of a frame of 4 MB.
    std::string bytes(wire::nonce_bytes, 'n');
    bytes += std::string("\x00\x00\x3f\x00", 4);
    bytes += static_cast<char>(wire::frame_version);
    bytes += std::string(20000, 'x');
    client.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    guarded.run();
    CHECK(is_closed(client));
}

// Guards against clients without the key that use up the descriptors of the process.
TEST_CASE("of the connections without a handshake only the newest stay open") {
    guarded_server guarded(4);
    std::vector<Poco::Net::StreamSocket> clients;
    clients.reserve(12);
    for (int number = 0; number < 12; ++number) {
        clients.push_back(guarded.connect());
    }
    guarded.run();
    CHECK(std::count_if(clients.begin(), clients.end(), is_closed) == 8);
    CHECK_FALSE(is_closed(clients.back()));
}

} // namespace egretstile::daemon
