#include "http/http_server_connection.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <utility>

namespace egretstile {

namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{16} * 1024;
constexpr std::string_view end_of_head = "\r\n\r\n";
/// Input beyond the present request that is read before the response has been sent.
constexpr std::size_t read_ahead_bytes = std::size_t{4} * 1024;
/// The buffer of a body grows to its final size in steps, each this many times the last one.
constexpr std::size_t first_body_capacity = std::size_t{16} * 1024;
constexpr std::size_t body_growth = 4;
/// Input that is read and dropped after a refusal, so that the client can read the response.
constexpr std::size_t max_dropped_bytes = std::size_t{1024} * 1024;
constexpr std::size_t call_bytes = std::size_t{4} * 1024;

} // namespace

http_server_connection::http_server_connection(http_server& server,
                                               const Poco::Net::StreamSocket& socket)
    : server_(server)
    , socket_(socket)
    , phase_since_(boot_now())
    , time_limits_{server.limits_.header_timeout, server.limits_.idle_limit,
                   server.limits_.idle_floor} {}

void http_server_connection::start() {
    update_mode();
}

void http_server_connection::close() {
    if (std::exchange(closed_, true)) {
        return;
    }
    const std::shared_ptr<http_server_connection> self = shared_from_this();
    server_.loop_.unwatch(socket_);
    socket_.close();
    release(input_);
    release(output_);
    request_ = http_request();
    if (phase_ != connection_phase::handling) {
        pending_bytes_ = 0;
    }
    unread_bytes_ = 0;
    update_memory();
    server_.connections_.erase(self);
}

connection_facts http_server_connection::facts() const {
    const std::size_t bytes = phase_ == connection_phase::reading_body ? body_received_ : sent_;
    return {phase_, phase_since_, bytes, held_bytes_, has_answered_};
}

void http_server_connection::enter(connection_phase phase) {
    phase_ = phase;
    phase_since_ = boot_now();
}

void http_server_connection::measure_unread_input() {
    if (closed_ || wants_input() || input_ended_) {
        return;
    }
    try {
        unread_bytes_ = static_cast<std::size_t>(std::max(socket_.available(), 0));
    } catch (const Poco::Exception&) {
        unread_bytes_ = 0; // The next write reports the error.
    }
    update_memory();
}

void http_server_connection::update_memory() {
    const std::size_t buffers =
        closed_ ? 0 : input_.capacity() + request_.body.capacity() + output_.capacity();
    const std::size_t held = buffers + pending_bytes_ + unread_bytes_;
    server_.memory_.change(held_bytes_, held);
    held_bytes_ = held;
}

bool http_server_connection::wants_input() const {
    const bool busy = phase_ == connection_phase::handling || phase_ == connection_phase::sending;
    return !input_ended_ && (!busy || input_.size() < read_ahead_bytes);
}

void http_server_connection::update_mode() {
    if (closed_) {
        return;
    }
    const int mode = (wants_input() ? Poco::Net::PollSet::POLL_READ : 0) |
                     (output_.empty() ? 0 : Poco::Net::PollSet::POLL_WRITE);
    const int former = std::exchange(watched_mode_, mode);
    if (mode == former) {
        return;
    }
    if (mode == 0) {
        server_.loop_.unwatch(socket_);
    } else if (former != 0) {
        server_.loop_.change_mode(socket_, mode);
    } else {
        unread_bytes_ = 0;
        server_.loop_.watch(socket_, mode, [self = weak_from_this()](int ready) {
            if (const std::shared_ptr<http_server_connection> connection = self.lock()) {
                connection->handle_ready(ready);
            }
        });
    }
}

void http_server_connection::handle_ready(int mode) {
    if (!closed_ && (mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
        write_pending();
    }
    if (!closed_ &&
        (mode & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
        if (wants_input()) {
            read_available();
        } else if ((mode & Poco::Net::PollSet::POLL_ERROR) != 0) {
            close();
        }
    }
    if (!closed_) {
        update_memory();
        update_mode();
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
    if (received < 0) {
        return;
    }
    if (received == 0) {
        // A client may end its side and still read the response.
        input_ended_ = true;
        if (phase_ != connection_phase::handling && phase_ != connection_phase::sending) {
            close();
        }
        return;
    }
    const std::string_view bytes(chunk.data(), static_cast<std::size_t>(received));
    if (phase_ == connection_phase::draining) {
        drop_input(bytes.size());
        return;
    }
    // While a body is being read, `input_` is empty.
    const std::size_t taken = phase_ == connection_phase::reading_body ? take_body(bytes) : 0;
    if (phase_ != connection_phase::draining) {
        input_.append(bytes.substr(taken));
        process_input();
    }
}

void http_server_connection::drop_input(std::size_t bytes) {
    dropped_bytes_ += bytes;
    if (dropped_bytes_ > max_dropped_bytes) {
        close();
    }
}

void http_server_connection::process_input() {
    // A handler may respond at once. The loop below then handles the next request, without
    // recursion, because the number of pipelined requests is the client's choice.
    if (std::exchange(processing_, true)) {
        return;
    }
    while (!closed_ && advance()) {
    }
    processing_ = false;
    if (closed_) {
        return;
    }
    if (input_.empty() && input_.capacity() > kept_capacity) {
        release(input_);
    }
    if (input_ended_ && phase_ != connection_phase::handling &&
        phase_ != connection_phase::sending && phase_ != connection_phase::draining) {
        close();
        return;
    }
    update_memory();
    update_mode();
}

bool http_server_connection::advance() {
    switch (phase_) {
    case connection_phase::idle:
        if (input_.empty()) {
            return false;
        }
        enter(connection_phase::reading_head);
        time_limits_.header_timeout = server_.limits_.header_timeout;
        time_limits_.idle_floor = server_.limits_.idle_floor;
        max_head_bytes_ = server_.limits_.max_head_bytes;
        scanned_ = 0;
        return true;
    case connection_phase::reading_head:
        return advance_head();
    case connection_phase::reading_body:
        if (body_received_ < body_bytes_) {
            return false;
        }
        finish_request();
        return true;
    case connection_phase::handling:
    case connection_phase::sending:
    case connection_phase::draining:
        return false;
    }
    return false;
}

bool http_server_connection::advance_head() {
    const std::size_t end = input_.find(end_of_head, scanned_);
    if (end == std::string::npos) {
        scanned_ = input_.size() < end_of_head.size() ? 0 : input_.size() - end_of_head.size() + 1;
        if (input_.size() > max_head_bytes_) {
            refuse(status_of(http_refusal::head_too_large), http_refusal::head_too_large);
        } else if (!server_.reserve_memory(0, *this)) {
            refuse(status_of(http_refusal::no_memory), http_refusal::no_memory);
        }
        return false;
    }
    request_ = http_request();
    const std::optional<http_head> head =
        parse_request_head(std::string_view(input_).substr(0, end + end_of_head.size()), request_);
    std::optional<http_refusal> reason;
    if (!head) {
        reason = http_refusal::malformed_head;
    } else if (head->bytes > max_head_bytes_) {
        reason = http_refusal::head_too_large;
    } else if (head->chunked) {
        reason = http_refusal::no_content_length;
    } else if (head->content_length > max_body_bytes()) {
        reason = http_refusal::body_too_large;
    }
    if (reason) {
        refuse(status_of(*reason), *reason);
        return false;
    }
    begin_body(*head);
    return true;
}

std::size_t http_server_connection::max_body_bytes() const {
    const http_server::limits& limits = server_.limits_;
    if (limits.max_local_body_bytes <= limits.max_body_bytes) {
        return limits.max_body_bytes;
    }
    try {
        const bool is_local = socket_.peerAddress().host() == socket_.address().host();
        return is_local ? limits.max_local_body_bytes : limits.max_body_bytes;
    } catch (const Poco::Exception&) {
        return limits.max_body_bytes; // The connection is closed already.
    }
}

void http_server_connection::begin_body(const http_head& head) {
    keep_alive_ = head.keep_alive;
    body_bytes_ = head.content_length;
    body_received_ = 0;
    refusal_ = body_bytes_ > 0 && server_.head_check_ ? server_.head_check_(request_, body_bytes_)
                                                      : std::nullopt;
    if (refusal_ && refusal_->status == status_of(http_refusal::body_too_large)) {
        refuse(std::move(*refusal_), http_refusal::body_too_large);
        return;
    }
    if (refusal_) {
        server_.count_refusal(http_refusal::unroutable);
    }
    enter(connection_phase::reading_body);
    const std::size_t taken = take_body(std::string_view(input_).substr(head.bytes));
    if (phase_ == connection_phase::reading_body) {
        input_.erase(0, head.bytes + taken);
        if (input_.empty() && input_.capacity() > kept_capacity) {
            release(input_);
        }
    }
}

std::size_t http_server_connection::take_body(std::string_view bytes) {
    const std::size_t taken = std::min(bytes.size(), body_bytes_ - body_received_);
    if (!refusal_) {
        std::string& body = request_.body;
        const std::size_t needed = body.size() + taken;
        if (needed > body.capacity()) {
            const std::size_t capacity =
                std::min(body_bytes_,
                         std::max({needed, body.capacity() * body_growth, first_body_capacity}));
            // Both buffers exist while the bytes are copied.
            if (!server_.reserve_memory(capacity, *this)) {
                refuse(status_of(http_refusal::no_memory), http_refusal::no_memory);
                return 0;
            }
            body.reserve(capacity);
        }
        body.append(bytes.substr(0, taken));
        update_memory();
    }
    body_received_ += taken;
    return taken;
}

void http_server_connection::finish_request() {
    if (refusal_) {
        has_answered_ = true;
        send_response(std::move(*std::exchange(refusal_, std::nullopt)), keep_alive_);
        return;
    }
    const std::size_t body = request_.body.capacity();
    const std::size_t pending =
        std::max(server_.limits_.body_copies, std::size_t{1}) * body + call_bytes;
    // The body itself has been counted.
    if (!server_.reserve_memory(pending - body, *this)) {
        refuse(status_of(http_refusal::no_memory), http_refusal::no_memory);
        return;
    }
    pending_bytes_ = pending;
    dispatch();
}

void http_server_connection::dispatch() {
    enter(connection_phase::handling);
    has_answered_ = true;
    ++server_.active_requests_;
    http_request request = std::exchange(request_, http_request());
    update_memory();
    const std::shared_ptr<http_server_connection> self = shared_from_this();
    http_server* const server = &server_;
    const std::shared_ptr<bool> responded = std::make_shared<bool>(false);
    server_.handler_(std::move(request),
                     [self, server, responded, keep_alive = keep_alive_](http_response&& response) {
                         if (std::exchange(*responded, true)) {
                             return;
                         }
                         --server->active_requests_;
                         self->send_response(std::move(response), keep_alive);
                     });
}

} // namespace egretstile
