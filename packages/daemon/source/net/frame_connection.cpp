#include "net/frame_connection.hpp"

#include <egretstile/runtime/net/socket_output.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/RandomStream.h>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

/// `send` fails while more than this is queued for a peer that does not read; keeps memory bounded.
constexpr std::size_t max_queued_bytes = 16 * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = 64 * 1024;
/// A nonce and a `hello` are shorter; bounds the memory for peers without the deployment's key.
constexpr std::size_t max_handshake_bytes = 4 * 1024;

wire::nonce make_nonce() {
    wire::nonce value{};
    Poco::RandomInputStream random;
    random.read(value.data(), static_cast<std::streamsize>(value.size()));
    return value;
}

} // namespace

frame_connection::frame_connection(event_loop& loop, const Poco::Net::StreamSocket& socket,
                                   side own_side, std::string deployment_key, wire::hello own_hello,
                                   handlers callbacks)
    : loop_(loop)
    , socket_(socket)
    , side_(own_side)
    , deployment_key_(std::move(deployment_key))
    , own_hello_(std::move(own_hello))
    , handlers_(std::move(callbacks))
    , own_nonce_(make_nonce()) {}

void frame_connection::start() {
    output_.assign(own_nonce_.begin(), own_nonce_.end());
    const std::weak_ptr<frame_connection> self = weak_from_this();
    loop_.watch(socket_, Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_WRITE,
                [self](int mode) {
                    if (const std::shared_ptr<frame_connection> connection = self.lock()) {
                        connection->handle_ready(mode);
                    }
                });
}

bool frame_connection::send(const wire::message& message) {
    if (!is_open() || queued_bytes() > max_queued_bytes) {
        return false;
    }
    output_ += encoder_->encode(message);
    write_pending();
    return !closed_;
}

void frame_connection::close() {
    if (std::exchange(closed_, true)) {
        return;
    }
    loop_.unwatch(socket_);
    socket_.close();
}

void frame_connection::note_end(connection_end reason, int error_number) {
    end_ = reason;
    end_error_ = error_number;
    unsent_bytes_ = queued_bytes();
}

std::string frame_connection::describe_end() const {
    return "reason=" + std::string(name_of(connection_end_names, end_)) +
           " error=" + std::to_string(end_error_) + " sent=" + std::to_string(bytes_sent_) +
           " received=" + std::to_string(bytes_received_) +
           " unsent=" + std::to_string(unsent_bytes_);
}

void frame_connection::handle_ready(int mode) {
    // The callbacks may release the last other reference to this object.
    const std::shared_ptr<frame_connection> self = shared_from_this();
    if (!closed_ && (mode & Poco::Net::PollSet::POLL_ERROR) != 0) {
        fail(connection_end::socket_failed, socket_.impl()->socketError());
        return;
    }
    if (!closed_ && (mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
        write_pending();
    }
    if (!closed_ && (mode & Poco::Net::PollSet::POLL_READ) != 0) {
        read_available();
    }
}

void frame_connection::read_available() {
    std::array<char, read_chunk_bytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init)
    int received = 0;
    try {
        received = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    } catch (const Poco::TimeoutException&) {
        return;
    } catch (const Poco::Exception& error) {
        fail(connection_end::receive_failed, error.code());
        return;
    }
    if (received == 0) {
        fail(connection_end::closed_by_peer);
        return;
    }
    if (received < 0) {
        return;
    }
    bytes_received_ += static_cast<std::uint64_t>(received);
    const std::string_view bytes(chunk.data(), static_cast<std::size_t>(received));
    if (decoder_) {
        decoder_->append(bytes);
    } else {
        nonce_input_.append(bytes);
        if (!process_nonce()) {
            return;
        }
    }
    process_messages();
    if (!closed_ && !peer_ && bytes_received_ > max_handshake_bytes) {
        write_log(log_part::net, log_level::warning,
                  "Closed a connection: its handshake is too long.", "");
        fail(connection_end::no_hello);
    }
}

bool frame_connection::process_nonce() {
    if (nonce_input_.size() < wire::nonce_bytes) {
        return false;
    }
    wire::nonce peer_nonce{};
    std::copy_n(nonce_input_.begin(), wire::nonce_bytes, peer_nonce.begin());
    const bool is_client = side_ == side::client;
    const wire::nonce& client = is_client ? own_nonce_ : peer_nonce;
    const wire::nonce& server = is_client ? peer_nonce : own_nonce_;
    const std::string client_key =
        wire::derive_frame_key(deployment_key_, client, server, wire::frame_direction::from_client);
    const std::string server_key =
        wire::derive_frame_key(deployment_key_, client, server, wire::frame_direction::from_server);
    encoder_.emplace(is_client ? client_key : server_key);
    decoder_.emplace(is_client ? server_key : client_key);
    decoder_->append(std::string_view(nonce_input_).substr(wire::nonce_bytes));
    nonce_input_.clear();
    output_ += encoder_->encode(own_hello_);
    write_pending();
    return !closed_;
}

void frame_connection::process_messages() {
    while (!closed_) {
        std::optional<std::variant<wire::message, wire::frame_error>> next = decoder_->next();
        if (!next) {
            return;
        }
        if (const wire::frame_error* const error = std::get_if<wire::frame_error>(&*next)) {
            write_log(log_part::net, log_level::warning,
                      "Closed a connection after an invalid frame.",
                      "error=" + std::string(name_of(wire::frame_error_names, *error)) +
                          " peer=" + (peer_ ? peer_->name : "unauthenticated"));
            fail(connection_end::invalid_frame);
            return;
        }
        wire::message& message = std::get<wire::message>(*next);
        if (!peer_) {
            process_hello(message);
        } else {
            handlers_.on_message(*this, std::move(message));
        }
    }
}

void frame_connection::process_hello(const wire::message& message) {
    const wire::hello* const hello = std::get_if<wire::hello>(&message);
    if (hello == nullptr) {
        fail(connection_end::no_hello);
        return;
    }
    peer_ = *hello;
    handlers_.on_open(*this, *peer_);
}

void frame_connection::write_pending() {
    while (output_offset_ < output_.size()) {
        std::size_t sent = 0;
        try {
            sent = send_available(socket_, std::string_view(output_).substr(output_offset_));
        } catch (const Poco::Exception& error) {
            fail_deferred(connection_end::send_failed, error.code());
            return;
        }
        if (sent == 0) {
            break;
        }
        output_offset_ += sent;
        bytes_sent_ += sent;
    }
    if (output_offset_ == output_.size()) {
        output_.clear();
        output_offset_ = 0;
    }
    update_mode();
}

void frame_connection::update_mode() {
    const bool wants_write = !output_.empty();
    if (wants_write == wants_write_) {
        return;
    }
    wants_write_ = wants_write;
    const int read = Poco::Net::PollSet::POLL_READ;
    loop_.change_mode(socket_, wants_write ? read | Poco::Net::PollSet::POLL_WRITE : read);
}

/// Calls `on_closed` from the event loop and not from within `send`, because the caller of `send`
/// may hold references into state that the callback changes.
void frame_connection::fail_deferred(connection_end reason, int error_number) {
    note_end(reason, error_number);
    close();
    const std::weak_ptr<frame_connection> self = weak_from_this();
    loop_.post([self] {
        if (const std::shared_ptr<frame_connection> connection = self.lock()) {
            connection->handlers_.on_closed(*connection);
        }
    });
}

void frame_connection::fail(connection_end reason, int error_number) {
    if (closed_) {
        return;
    }
    note_end(reason, error_number);
    close();
    handlers_.on_closed(*this);
}

} // namespace egretstile::daemon
