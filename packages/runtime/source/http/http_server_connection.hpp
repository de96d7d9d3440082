#pragma once

#include <egretstile/runtime/http/http_server.hpp>

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>
#include <string>

namespace egretstile {

/// One connection of an `http_server`. Handles one request at a time; a pipelined request waits
/// until the response to the previous one was sent.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server& server, const Poco::Net::StreamSocket& socket);

    /// Starts reading requests. Precondition: a shared pointer owns the object; called once.
    void start();
    void close();

    /// Whether the connection has waited for its next request since before `time`.
    bool is_waiting_since_before(boot_time time) const {
        return !awaiting_response_ && waiting_since_ < time;
    }

private:
    void handle_ready(int mode);
    void read_available();
    /// Passes the next request to the handler once it has arrived completely.
    void process_input();
    /// Sends an error response and closes the connection.
    void reject(int status);
    void dispatch(http_request&& request, bool keep_alive);
    void send_response(http_response&& response, bool keep_alive);
    void write_pending();
    void update_mode();

    http_server& server_;
    Poco::Net::StreamSocket socket_;
    std::string input_;
    std::string output_;
    std::size_t sent_{0};
    bool awaiting_response_{false};
    /// When the connection was accepted or the last response was begun.
    boot_time waiting_since_;
    bool close_when_sent_{false};
    bool wants_write_{false};
    bool closed_{false};
};

} // namespace egretstile
