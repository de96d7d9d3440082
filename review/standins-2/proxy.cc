#include "proxy.h"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace egretstile::review {

namespace {

constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;

} // namespace

proxy::proxy(event_loop& loop, const std::string& host, std::uint16_t port,
             std::uint16_t server_port)
    : loop_(loop)
    , host_(host)
    , server_port_(server_port) {
    socket_.bind(Poco::Net::SocketAddress(host, port), true);
    socket_.listen(256);
    loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int /*mode*/) { accept(); });
}

void proxy::set_cut(bool cut) {
    if (cut) {
        silence_open_connections();
    }
    cut_ = cut;
}

void proxy::silence_open_connections() {
    for (const std::shared_ptr<connection>& pair : connections_) {
        pair->silent = true;
    }
}

void proxy::accept() {
    const std::shared_ptr<connection> pair = std::make_shared<connection>();
    try {
        pair->client = socket_.acceptConnection();
        pair->server.connect(Poco::Net::SocketAddress(host_, server_port_));
        pair->client.setNoDelay(true);
        pair->server.setNoDelay(true);
    } catch (const Poco::Exception&) {
        return;
    }
    pair->silent = cut_;
    connections_.insert(pair);
    loop_.watch(pair->client, Poco::Net::PollSet::POLL_READ,
                [this, pair](int /*mode*/) { forward(pair, true); });
    loop_.watch(pair->server, Poco::Net::PollSet::POLL_READ,
                [this, pair](int /*mode*/) { forward(pair, false); });
}

void proxy::forward(const std::shared_ptr<connection>& pair, bool from_client) {
    std::array<char, chunk_bytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init)
    Poco::Net::StreamSocket& source = from_client ? pair->client : pair->server;
    Poco::Net::StreamSocket& target = from_client ? pair->server : pair->client;
    try {
        const int received = source.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        if (received <= 0) {
            close(pair);
            return;
        }
        if (pair->silent) {
            return; // The bytes are lost.
        }
        if (from_client) {
            const std::string text(chunk.data(), static_cast<std::size_t>(received));
            last_request_ = text.substr(0, text.find('\r'));
            last_request_at_ = boot_now();
        }
        int sent = 0;
        while (sent < received) {
            sent += target.sendBytes(chunk.data() + sent, received - sent);
        }
    } catch (const Poco::Exception&) {
        close(pair);
    }
}

void proxy::close(const std::shared_ptr<connection>& pair) {
    if (connections_.erase(pair) == 0) {
        return;
    }
    loop_.unwatch(pair->client);
    loop_.unwatch(pair->server);
    pair->client.close();
    pair->server.close();
}

} // namespace egretstile::review
