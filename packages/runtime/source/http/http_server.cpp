#include "http/http_server_connection.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/net/keep_alive.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace egretstile {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::size_t read_chunk_bytes = std::size_t{16} * 1024;
constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr milliseconds longest_idle_check_interval{5000};

} // namespace

http_server::http_server(event_loop& loop, const endpoint& address, const limits& bounds,
                         handler function)
    : loop_(loop)
    , limits_(bounds)
    , handler_(std::move(function)) {
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket_.listen(listen_backlog);
    socket_.setBlocking(false);
    loop_.watch(socket_, Poco::Net::PollSet::POLL_READ,
                [this](int /*mode*/) { accept_connection(); });
    loop_.call_every(std::min(longest_idle_check_interval, limits_.idle_limit / 2),
                     [this, alive = std::weak_ptr<int>(alive_)] {
                         if (!alive.expired()) {
                             close_idle_connections();
                         }
                     });
}

http_server::~http_server() {
    loop_.unwatch(socket_);
    for (const std::shared_ptr<http_server_connection>& connection :
         std::exchange(connections_, {})) {
        connection->close();
    }
}

void http_server::close_idle_connections() {
    const boot_time oldest = boot_now() - limits_.idle_limit;
    std::vector<std::shared_ptr<http_server_connection>> idle;
    for (const std::shared_ptr<http_server_connection>& connection : connections_) {
        if (connection->is_waiting_since_before(oldest)) {
            idle.push_back(connection);
        }
    }
    for (const std::shared_ptr<http_server_connection>& connection : idle) {
        connection->close();
    }
    if (!idle.empty()) {
        write_log(log_part::net, log_level::info, "Closed idle connections.",
                  "connections=" + std::to_string(idle.size()) +
                      " idle_limit_ms=" + std::to_string(limits_.idle_limit.count()));
    }
}

void http_server::accept_connection() {
    try {
        Poco::Net::StreamSocket accepted = socket_.acceptConnection();
        if (connections_.size() >= limits_.max_connections) {
            accepted.close();
            return;
        }
        accepted.setBlocking(false);
        accepted.setNoDelay(true);
        enable_keep_alive(accepted);
        const std::shared_ptr<http_server_connection> connection =
            std::make_shared<http_server_connection>(*this, accepted);
        connections_.insert(connection);
        connection->start();
    } catch (const Poco::Exception&) {
        // The client closed the connection before it was accepted, or the process has no free file
        // descriptor. In the second case the connection stays queued and the next poll retries.
    }
}

http_server_connection::http_server_connection(http_server& server,
                                               const Poco::Net::StreamSocket& socket)
    : server_(server)
    , socket_(socket)
    , waiting_since_(boot_now()) {}

void http_server_connection::start() {
    const std::weak_ptr<http_server_connection> self = weak_from_this();
    server_.loop_.watch(socket_, Poco::Net::PollSet::POLL_READ, [self](int mode) {
        if (const std::shared_ptr<http_server_connection> connection = self.lock()) {
            connection->handle_ready(mode);
        }
    });
}

void http_server_connection::close() {
    if (std::exchange(closed_, true)) {
        return;
    }
    server_.loop_.unwatch(socket_);
    socket_.close();
    server_.connections_.erase(shared_from_this());
}

void http_server_connection::handle_ready(int mode) {
    if (!closed_ && (mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
        write_pending();
    }
    if (!closed_ &&
        (mode & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        read_available();
    }
}

void http_server_connection::read_available() {
    std::array<char, read_chunk_bytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init)
    int received = 0;
    try {
        received = socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    } catch (const Poco::TimeoutException&) {
        return;
    } catch (const Poco::Exception&) {
        close();
        return;
    }
    if (received == 0) {
        close();
        return;
    }
    if (received > 0) {
        input_.append(chunk.data(), static_cast<std::size_t>(received));
        process_input();
    }
}

void http_server_connection::process_input() {
    if (awaiting_response_ || closed_ || close_when_sent_) {
        return;
    }
    const std::size_t end = input_.find(end_of_head);
    if (end == std::string::npos) {
        if (input_.size() > server_.limits_.max_head_bytes) {
            reject(431);
        }
        return;
    }
    http_request request;
    const std::optional<http_head> head =
        parse_request_head(std::string_view(input_).substr(0, end + end_of_head.size()), request);
    if (!head || head->bytes > server_.limits_.max_head_bytes) {
        reject(head ? 431 : 400);
        return;
    }
    if (head->chunked || head->content_length > server_.limits_.max_body_bytes) {
        reject(head->chunked ? 411 : 413);
        return;
    }
    if (input_.size() < head->bytes + head->content_length) {
        return;
    }
    request.body = input_.substr(head->bytes, head->content_length);
    input_.erase(0, head->bytes + head->content_length);
    dispatch(std::move(request), head->keep_alive);
}

void http_server_connection::reject(int status) {
    http_response response;
    response.status = status;
    // The boundary to a following request in the input is unknown, so the input is discarded.
    input_.clear();
    output_ += format_response(response, false);
    close_when_sent_ = true;
    write_pending();
}

void http_server_connection::dispatch(http_request&& request, bool keep_alive) {
    awaiting_response_ = true;
    ++server_.active_requests_;
    const std::weak_ptr<http_server_connection> self = weak_from_this();
    http_server* const server = &server_;
    const std::shared_ptr<bool> responded = std::make_shared<bool>(false);
    server_.handler_(
        std::move(request), [self, server, responded, keep_alive](http_response&& response) {
            if (std::exchange(*responded, true)) {
                return;
            }
            --server->active_requests_;
            if (const std::shared_ptr<http_server_connection> connection = self.lock()) {
                connection->send_response(std::move(response), keep_alive);
            }
        });
}

void http_server_connection::send_response(http_response&& response, bool keep_alive) {
    awaiting_response_ = false;
    waiting_since_ = boot_now();
    if (closed_) {
        return;
    }
    const bool keep_open = keep_alive && !server_.stopping_;
    output_ += format_response(response, keep_open);
    close_when_sent_ = !keep_open;
    write_pending();
    if (!closed_) {
        process_input();
    }
}

void http_server_connection::write_pending() {
    while (sent_ < output_.size()) {
        int written = 0;
        try {
            const std::string_view rest = std::string_view(output_).substr(sent_);
            written = socket_.sendBytes(rest.data(), static_cast<int>(rest.size()));
        } catch (const Poco::TimeoutException&) {
            written = 0;
        } catch (const Poco::Exception&) {
            close();
            return;
        }
        if (written <= 0) {
            break;
        }
        sent_ += static_cast<std::size_t>(written);
    }
    if (sent_ == output_.size()) {
        output_.clear();
        sent_ = 0;
        if (close_when_sent_) {
            close();
            return;
        }
    }
    update_mode();
}

void http_server_connection::update_mode() {
    const bool wants_write = !output_.empty();
    if (wants_write == wants_write_) {
        return;
    }
    wants_write_ = wants_write;
    const int read = Poco::Net::PollSet::POLL_READ;
    server_.loop_.change_mode(socket_, wants_write ? read | Poco::Net::PollSet::POLL_WRITE : read);
}

} // namespace egretstile
