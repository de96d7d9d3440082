#include "http/http_server_connection.hpp"

#include <egretstile/runtime/net/socket_output.hpp>

#include <Poco/Exception.h>

#include <string_view>
#include <utility>

namespace egretstile {

namespace {

constexpr int retry_after_s = 1;

} // namespace

void http_server_connection::end(http_refusal reason) {
    switch (phase_) {
    case connection_phase::reading_head:
    case connection_phase::reading_body:
        refuse(status_of(reason), reason);
        return;
    case connection_phase::idle:
    case connection_phase::sending:
        server_.count_refusal(reason);
        close();
        return;
    case connection_phase::draining:
        close(); // Its refusal has been counted.
        return;
    case connection_phase::handling:
        return;
    }
}

void http_server_connection::refuse(int status, http_refusal reason) {
    http_response response;
    response.status = status;
    if (status == status_of(http_refusal::no_memory)) {
        response.headers["Retry-After"] = std::to_string(retry_after_s);
    }
    refuse(std::move(response), reason);
}

void http_server_connection::refuse(http_response&& response, http_refusal reason) {
    const std::shared_ptr<http_server_connection> self = shared_from_this();
    // The argument may belong to `refusal_`, which is reset below.
    const http_response refusal = std::move(response);
    server_.count_refusal(reason);
    // The boundary to a following request in the input is unknown, so the input is discarded.
    release(input_);
    request_ = http_request();
    refusal_.reset();
    enter(connection_phase::draining);
    dropped_bytes_ = 0;
    close_when_sent_ = true;
    output_ += format_response(refusal, false);
    write_pending();
    if (!closed_) {
        update_memory();
    }
}

void http_server_connection::send_response(http_response&& response, bool keep_alive) {
    pending_bytes_ = 0;
    enter(connection_phase::sending);
    if (closed_) {
        update_memory();
        return;
    }
    // Requests that have been read are answered also while the server stops.
    const bool keep_open = keep_alive && (!server_.stopping_ || !input_.empty());
    output_ += format_response(response, keep_open);
    close_when_sent_ = !keep_open;
    update_memory();
    write_pending();
    if (!closed_) {
        process_input();
    }
}

void http_server_connection::write_pending() {
    while (sent_ < output_.size()) {
        std::size_t sent = 0;
        try {
            sent = send_available(socket_, std::string_view(output_).substr(sent_));
        } catch (const Poco::Exception&) {
            close();
            return;
        }
        if (sent == 0) {
            break;
        }
        sent_ += sent;
    }
    if (!output_.empty() && sent_ == output_.size()) {
        handle_sent();
    }
    update_mode();
}

void http_server_connection::handle_sent() {
    if (output_.capacity() > kept_capacity) {
        release(output_);
    } else {
        output_.clear();
    }
    sent_ = 0;
    if (close_when_sent_) {
        try {
            // Closing a socket with unread input resets the connection, and the client may lose the
            // response.
            if (phase_ != connection_phase::draining && input_.empty() &&
                socket_.available() == 0) {
                close();
                return;
            }
            socket_.shutdownSend();
        } catch (const Poco::Exception&) {
            close();
            return;
        }
        release(input_);
        if (phase_ != connection_phase::draining) {
            enter(connection_phase::draining);
        }
        if (input_ended_) {
            close();
        }
        return;
    }
    if (phase_ == connection_phase::sending) {
        enter(connection_phase::idle);
        if (!processing_) {
            process_input();
        }
    }
}

} // namespace egretstile
