#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace egretstile::review {

/// Forwards the connections of one process to the store, and can cut them. Must be used on the
/// event loop's thread only.
class proxy {
public:
    proxy(event_loop& loop, const std::string& host, std::uint16_t port, std::uint16_t server_port);

    /// While the link is cut nothing passes, in either direction, and new connections get no
    /// answer. Afterwards the connections that were open or opened meanwhile stay silent.
    void set_cut(bool cut);
    /// Makes the open connections silent for good; new ones work.
    void silence_open_connections();

    /// The last request that began to pass, up to the end of its first line.
    const std::string& last_request() const { return last_request_; }

    boot_time last_request_at() const { return last_request_at_; }

private:
    struct connection {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket server;
        bool silent{false};
    };

    void accept();
    void forward(const std::shared_ptr<connection>& pair, bool from_client);
    void close(const std::shared_ptr<connection>& pair);

    event_loop& loop_;
    std::string host_;
    std::uint16_t server_port_;
    Poco::Net::ServerSocket socket_;
    std::set<std::shared_ptr<connection>> connections_;
    bool cut_{false};
    std::string last_request_;
    boot_time last_request_at_{};
};

} // namespace egretstile::review
