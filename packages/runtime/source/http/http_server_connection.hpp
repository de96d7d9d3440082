#pragma once

#include <egretstile/runtime/http/http_server.hpp>

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>
#include <string>

namespace egretstile {

/// One connection of an `http_server`. Handles one request at a time; a pipelined request waits
/// until the one before it is answered.
class http_server_connection : public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server& server, const Poco::Net::StreamSocket& socket);

    /// Call once, on an object held by a shared pointer.
    void start();
    void close();

private:
    void handle_ready(int mode);
    void read_available();
    void take_request();
    void refuse(int status);
    void dispatch(http_request&& request, bool keep_alive);
    void answer(http_response&& response, bool keep_alive);
    void write_pending();
    void update_mode();

    http_server& server_;
    Poco::Net::StreamSocket socket_;
    std::string input_;
    std::string output_;
    std::size_t sent_{0};
    bool awaiting_answer_{false};
    bool close_when_sent_{false};
    bool wants_write_{false};
    bool closed_{false};
};

} // namespace egretstile
