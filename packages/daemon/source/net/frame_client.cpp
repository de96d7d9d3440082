#include "net/frame_client.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

constexpr milliseconds initial_retry_delay{100};
/// Short enough to reconnect to a returning peer before the leases that depend on it expire.
constexpr milliseconds max_retry_delay{1000};
constexpr milliseconds handshake_timeout{2000};

} // namespace

frame_client::frame_client(event_loop& loop, endpoint address, std::string deployment_key,
                           wire::hello own_hello, frame_connection::handlers callbacks)
    : loop_(loop)
    , address_(std::move(address))
    , deployment_key_(std::move(deployment_key))
    , own_hello_(std::move(own_hello))
    , handlers_(std::move(callbacks)) {}

frame_client::~frame_client() {
    drop_connection();
}

void frame_client::maintain() {
    const boot_time now = boot_now();
    if (connection_ == nullptr) {
        if (now >= next_attempt_at_) {
            connect();
        }
        return;
    }
    if (!connection_->is_open() && now >= handshake_deadline_) {
        reset();
    }
}

bool frame_client::send(const wire::message& message) {
    return connection_ != nullptr && connection_->send(message);
}

void frame_client::reset() {
    if (connection_ == nullptr) {
        return;
    }
    const std::shared_ptr<frame_connection> closed = connection_;
    drop_connection();
    schedule_retry();
    handlers_.on_closed(*closed);
}

std::uint64_t frame_client::bytes_received() const {
    return bytes_received_ + (connection_ ? connection_->bytes_received() : 0);
}

std::uint64_t frame_client::bytes_sent() const {
    return bytes_sent_ + (connection_ ? connection_->bytes_sent() : 0);
}

void frame_client::connect() {
    Poco::Net::StreamSocket socket;
    try {
        socket.connectNB(Poco::Net::SocketAddress(address_.host, address_.port));
        socket.setNoDelay(true);
    } catch (const Poco::Exception&) {
        schedule_retry();
        return;
    }
    frame_connection::handlers callbacks = handlers_;
    callbacks.on_open = [this](frame_connection& connection, const wire::hello& hello) {
        retry_delay_ = milliseconds(0);
        handlers_.on_open(connection, hello);
    };
    callbacks.on_closed = [this](frame_connection& connection) {
        const std::shared_ptr<frame_connection> closed = connection.shared_from_this();
        drop_connection();
        schedule_retry();
        handlers_.on_closed(connection);
    };
    handshake_deadline_ = boot_now() + handshake_timeout;
    connection_ =
        std::make_shared<frame_connection>(loop_, socket, frame_connection::side::client,
                                           deployment_key_, own_hello_, std::move(callbacks));
    connection_->start();
}

void frame_client::schedule_retry() {
    retry_delay_ = std::clamp(retry_delay_ * 2, initial_retry_delay, max_retry_delay);
    next_attempt_at_ = boot_now() + retry_delay_;
}

void frame_client::drop_connection() {
    if (connection_ == nullptr) {
        return;
    }
    bytes_received_ += connection_->bytes_received();
    bytes_sent_ += connection_->bytes_sent();
    connection_->close();
    connection_.reset();
}

} // namespace egretstile::daemon
