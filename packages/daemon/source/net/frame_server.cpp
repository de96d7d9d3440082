#include "net/frame_server.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/net/keep_alive.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Large enough for all agents of a rack or failure domain, which connect at the same time after an
/// outage.
constexpr int accept_backlog = 512;

/// A connection whose peer does not complete the handshake within this time is closed.
constexpr milliseconds handshake_timeout{2000};
constexpr milliseconds accept_pause{50};

} // namespace

frame_server::frame_server(event_loop& loop, const endpoint& address, std::string deployment_key,
                           wire::hello own_hello, frame_connection::handlers callbacks,
                           std::size_t max_handshakes)
    : loop_(loop)
    , deployment_key_(std::move(deployment_key))
    , own_hello_(std::move(own_hello))
    , handlers_(std::move(callbacks))
    , max_handshakes_(max_handshakes) {
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket_.listen(accept_backlog);
    socket_.setBlocking(false);
    loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [this](int /*mode*/) { accept_pending(); });
}

frame_server::~frame_server() {
    loop_.unwatch(socket_);
    for (const std::shared_ptr<frame_connection>& connection : connections_) {
        connection->close();
    }
}

void frame_server::set_hello(wire::hello own_hello) {
    own_hello_ = std::move(own_hello);
}

std::uint64_t frame_server::bytes_received() const {
    std::uint64_t total = closed_bytes_received_;
    for (const std::shared_ptr<frame_connection>& connection : connections_) {
        total += connection->bytes_received();
    }
    return total;
}

std::uint64_t frame_server::bytes_sent() const {
    std::uint64_t total = closed_bytes_sent_;
    for (const std::shared_ptr<frame_connection>& connection : connections_) {
        total += connection->bytes_sent();
    }
    return total;
}

void frame_server::remove(const std::shared_ptr<frame_connection>& connection) {
    closed_bytes_received_ += connection->bytes_received();
    closed_bytes_sent_ += connection->bytes_sent();
    connections_.erase(connection);
}

void frame_server::accept_pending() {
    try {
        while (socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            Poco::Net::StreamSocket accepted = socket_.acceptConnection();
            accepted.setBlocking(false);
            accepted.setNoDelay(true);
            enable_keep_alive(accepted);
            frame_connection::handlers callbacks = handlers_;
            callbacks.on_closed = [this](frame_connection& connection) {
                const std::shared_ptr<frame_connection> closed = connection.shared_from_this();
                handlers_.on_closed(connection);
                remove(closed);
            };
            const std::shared_ptr<frame_connection> connection = std::make_shared<frame_connection>(
                loop_, accepted, frame_connection::side::server, deployment_key_, own_hello_,
                std::move(callbacks));
            connections_.insert(connection);
            connection->start();
            schedule_handshake_timeout(connection);
            handshakes_.push_back(connection);
            limit_handshakes();
        }
    } catch (const Poco::Exception& error) {
        // The peer closed the connection before it was accepted, or no descriptor is free. In the
        // second case the socket stays ready, so the next attempt waits.
        if (const std::optional<std::uint64_t> left_out = accept_log_.admit(boot_now())) {
            write_log(log_part::net, log_level::warning, "Cannot accept a peer's connection.",
                      "reason=\"" + error.displayText() +
                          "\" left_out=" + std::to_string(*left_out));
        }
        pause_accepting();
    }
}

void frame_server::pause_accepting() {
    loop_.unwatch(socket_);
    loop_.call_at(boot_now() + accept_pause, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            loop_.watch(socket_, Poco::Net::PollSet::POLL_READ,
                        [this](int /*mode*/) { accept_pending(); });
        }
    });
}

void frame_server::limit_handshakes() {
    if (handshakes_.size() <= max_handshakes_) {
        return;
    }
    std::erase_if(handshakes_, [](const std::weak_ptr<frame_connection>& pending) {
        const std::shared_ptr<frame_connection> connection = pending.lock();
        return connection == nullptr || connection->is_open() || connection->is_closed();
    });
    while (handshakes_.size() > max_handshakes_) {
        const std::shared_ptr<frame_connection> oldest = handshakes_.front().lock();
        handshakes_.pop_front();
        if (oldest != nullptr) {
            oldest->close();
            remove(oldest);
        }
    }
}

void frame_server::schedule_handshake_timeout(const std::shared_ptr<frame_connection>& connection) {
    const std::weak_ptr<frame_connection> weak_connection = connection;
    loop_.call_at(boot_now() + handshake_timeout, [this, weak_connection] {
        const std::shared_ptr<frame_connection> pending = weak_connection.lock();
        if (pending != nullptr && !pending->is_open()) {
            pending->close();
            remove(pending);
        }
    });
}

} // namespace egretstile::daemon
