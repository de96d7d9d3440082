#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_client.hpp>
#include <egretstile/runtime/net/socket_output.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <string>
#include <utility>

namespace egretstile {

namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;
constexpr std::string_view end_of_head = "\r\n\r\n";

/// `error` is a value of `errno`.
http_failure_kind kind_of(int error) {
    switch (error) {
    case ECONNREFUSED:
        return http_failure_kind::refused;
    case ECONNRESET:
        return http_failure_kind::reset;
    case ETIMEDOUT:
        return http_failure_kind::timed_out;
    case EPIPE:
        // Linux reports a reset that follows the server's close as EPIPE.
        return http_failure_kind::closed;
    default:
        return http_failure_kind::no_connection;
    }
}

std::optional<Poco::Net::SocketAddress> resolve(const endpoint& server) {
    try {
        return Poco::Net::SocketAddress(server.host, server.port);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace

/// One connection of an `http_client`.
class http_client_connection : public std::enable_shared_from_this<http_client_connection> {
public:
    http_client_connection(http_client& client, event_loop& loop)
        : client_(&client)
        , loop_(loop) {}

    bool is_idle() const { return !closed_ && !done_ && !first_error_; }

    /// Starts to connect. When that fails at once, the call that is sent next fails.
    void open() {
        const std::optional<Poco::Net::SocketAddress> address = resolve(client_->server_);
        if (!address) {
            first_error_ = http_failure_kind::unresolved;
            return;
        }
        try {
            socket_.connectNB(*address);
            socket_.setBlocking(false);
        } catch (const Poco::Exception& error) {
            first_error_ = kind_of(error.code());
            return;
        }
        const std::weak_ptr<http_client_connection> self = weak_from_this();
        loop_.watch(socket_, Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_WRITE,
                    [self](int mode) {
                        if (const std::shared_ptr<http_client_connection> connection =
                                self.lock()) {
                            connection->handle_ready(mode);
                        }
                    });
        wants_write_ = true;
    }

    void send(std::string&& bytes, milliseconds timeout, http_client::callback done) {
        output_ = std::move(bytes);
        sent_ = 0;
        input_.clear();
        done_ = std::move(done);
        ++call_number_;
        timeout_ = timeout;
        last_progress_ = boot_now();
        schedule_timeout(call_number_);
        if (first_error_) {
            fail_later();
        } else if (connected_) {
            write_pending();
        }
    }

    /// Closes the connection without calling the callback of a pending call.
    void abandon() {
        done_ = nullptr;
        close();
    }

private:
    /// Arranges that the call fails once nothing has been sent or received for its timeout.
    void schedule_timeout(std::uint64_t call_number) {
        const std::weak_ptr<http_client_connection> self = weak_from_this();
        loop_.call_at(last_progress_ + timeout_, [self, call_number] {
            const std::shared_ptr<http_client_connection> connection = self.lock();
            if (!connection || !connection->done_ || connection->call_number_ != call_number) {
                return;
            }
            if (boot_now() >= connection->last_progress_ + connection->timeout_) {
                connection->log_timeout();
                connection->client_->close_idle_connections();
                connection->fail(http_failure_kind::timed_out);
            } else {
                connection->schedule_timeout(call_number);
            }
        });
    }

    /// Whether the connection had answered before tells a server that is down from connections
    /// that have fallen silent.
    void log_timeout() const {
        write_log(log_part::net, log_level::info, "A call got no answer in time.",
                  "server=" + to_string(client_->server_) + " timeout_ms=" +
                      std::to_string(timeout_.count()) + " connected=" + (connected_ ? "1" : "0") +
                      " earlier_calls=" + std::to_string(call_number_ - 1) +
                      " open_connections=" + std::to_string(client_->connections_.size()));
    }

    void handle_ready(int mode) {
        const std::shared_ptr<http_client_connection> self = shared_from_this();
        if (!closed_ && (mode & Poco::Net::PollSet::POLL_ERROR) != 0) {
            fail(kind_of(socket_.impl()->socketError()));
            return;
        }
        if (!closed_ && (mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
            if (!std::exchange(connected_, true)) {
                try {
                    socket_.setNoDelay(true);
                } catch (const Poco::Exception& error) {
                    fail(kind_of(error.code()));
                    return;
                }
            }
            write_pending();
        }
        if (!closed_ && (mode & Poco::Net::PollSet::POLL_READ) != 0) {
            read_available();
        }
    }

    void write_pending() {
        while (sent_ < output_.size()) {
            std::size_t sent = 0;
            try {
                sent = send_available(socket_, std::string_view(output_).substr(sent_));
            } catch (const Poco::Exception& error) {
                first_error_ = kind_of(error.code());
                fail_later();
                return;
            }
            if (sent == 0) {
                break;
            }
            sent_ += sent;
            last_progress_ = boot_now();
        }
        const bool wants_write = sent_ < output_.size();
        if (wants_write != wants_write_) {
            wants_write_ = wants_write;
            const int read = Poco::Net::PollSet::POLL_READ;
            loop_.change_mode(socket_, wants_write ? read | Poco::Net::PollSet::POLL_WRITE : read);
        }
    }

    void read_available() {
        std::string chunk(read_chunk_bytes, '\0');
        int received = 0;
        try {
            received = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        } catch (const Poco::Exception& error) {
            if (error.code() != EAGAIN) {
                fail(kind_of(error.code()));
            }
            return;
        }
        if (received == 0) {
            fail(http_failure_kind::closed);
            return;
        }
        if (received > 0) {
            last_progress_ = boot_now();
            input_.append(chunk, 0, static_cast<std::size_t>(received));
            process_input();
        }
    }

    void process_input() {
        if (!done_) {
            // The server sent data while no call was pending.
            close();
            return;
        }
        if (!head_) {
            const std::size_t end = input_.find(end_of_head);
            if (end == std::string::npos) {
                return;
            }
            response_ = http_response();
            head_ = parse_response_head(
                std::string_view(input_).substr(0, end + end_of_head.size()), response_);
            if (!head_ || head_->chunked) {
                fail(http_failure_kind::malformed);
                return;
            }
        }
        if (input_.size() < head_->bytes + head_->content_length) {
            return;
        }
        response_.body = input_.substr(head_->bytes, head_->content_length);
        const bool keep_alive = head_->keep_alive;
        finish(std::move(response_), keep_alive);
    }

    void finish(http_result&& result, bool keep_open) {
        head_.reset();
        input_.clear();
        const http_client::callback done = std::exchange(done_, nullptr);
        if (keep_open) {
            client_->schedule_waiting_calls();
        } else {
            close();
        }
        if (done) {
            done(std::move(result));
        }
    }

    void fail(http_failure_kind kind) {
        if (closed_) {
            return;
        }
        finish(http_failure{first_error_.value_or(kind), sent_ != 0}, false);
    }

    /// Fails the call with `first_error_` from the loop, because callbacks must not run inside
    /// `http_client::call`. Precondition: `first_error_` is set.
    void fail_later() {
        const std::weak_ptr<http_client_connection> self = weak_from_this();
        loop_.post([self] {
            if (const std::shared_ptr<http_client_connection> connection = self.lock()) {
                connection->fail(*connection->first_error_);
            }
        });
    }

    void close() {
        if (std::exchange(closed_, true)) {
            return;
        }
        loop_.unwatch(socket_);
        socket_.close();
        if (client_ != nullptr) {
            std::vector<std::shared_ptr<http_client_connection>>& all = client_->connections_;
            const std::shared_ptr<http_client_connection> self = shared_from_this();
            all.erase(std::remove(all.begin(), all.end(), self), all.end());
            client_->schedule_waiting_calls();
        }
    }

    http_client* client_;
    event_loop& loop_;
    Poco::Net::StreamSocket socket_;
    std::string output_;
    std::size_t sent_{0};
    std::string input_;
    std::optional<http_head> head_;
    http_response response_;
    http_client::callback done_;
    std::uint64_t call_number_{0};
    milliseconds timeout_{0};
    boot_time last_progress_{};
    /// Kept because the kernel reports an error once: the socket then reads as closed.
    std::optional<http_failure_kind> first_error_;
    bool connected_{false};
    bool wants_write_{false};
    bool closed_{false};
};

http_client::http_client(event_loop& loop, endpoint server, std::size_t max_connections)
    : loop_(loop)
    , server_(std::move(server))
    , max_connections_(max_connections) {}

http_client::~http_client() {
    for (const std::shared_ptr<http_client_connection>& connection :
         std::exchange(connections_, {})) {
        connection->abandon();
    }
}

void http_client::call(http_request&& request, milliseconds timeout, callback done) {
    waiting_call call{format_request(request, to_string(server_)), timeout, boot_now() + timeout,
                      std::move(done)};
    if (waiting_.empty() && has_free_connection()) {
        send(std::move(call));
        return;
    }
    waiting_.push_back(std::move(call));
    loop_.call_at(waiting_.back().give_up_at, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            fail_expired_calls();
        }
    });
}

void http_client::send(waiting_call&& call) {
    idle_connection()->send(std::move(call.bytes), call.timeout, std::move(call.done));
}

void http_client::schedule_waiting_calls() {
    if (waiting_.empty() || std::exchange(send_scheduled_, true)) {
        return;
    }
    loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            send_waiting_calls();
        }
    });
}

void http_client::send_waiting_calls() {
    send_scheduled_ = false;
    while (!waiting_.empty() && has_free_connection()) {
        waiting_call next = std::move(waiting_.front());
        waiting_.pop_front();
        send(std::move(next));
    }
}

void http_client::fail_expired_calls() {
    const boot_time now = boot_now();
    std::vector<callback> expired;
    for (auto call = waiting_.begin(); call != waiting_.end();) {
        if (now < call->give_up_at) {
            ++call;
            continue;
        }
        expired.push_back(std::move(call->done));
        call = waiting_.erase(call);
    }
    for (const callback& done : expired) {
        done(http_failure{http_failure_kind::no_connection, false});
    }
}

bool http_client::has_free_connection() const {
    return connections_.size() < max_connections_ ||
           std::any_of(connections_.begin(), connections_.end(),
                       [](const std::shared_ptr<http_client_connection>& connection) {
                           return connection->is_idle();
                       });
}

void http_client::close_idle_connections() {
    // A copy, because a connection that is closed removes itself.
    const std::vector<std::shared_ptr<http_client_connection>> all = connections_;
    for (const std::shared_ptr<http_client_connection>& connection : all) {
        if (connection->is_idle()) {
            connection->abandon();
        }
    }
}

std::shared_ptr<http_client_connection> http_client::idle_connection() {
    for (const std::shared_ptr<http_client_connection>& connection : connections_) {
        if (connection->is_idle()) {
            return connection;
        }
    }
    std::shared_ptr<http_client_connection> connection =
        std::make_shared<http_client_connection>(*this, loop_);
    connection->open();
    connections_.push_back(connection);
    return connection;
}

} // namespace egretstile
