#pragma once

#include "client_script.hpp"

#include <egretstile/runtime/net/endpoint.hpp>

#include <poll.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace egretstile::platform::standins {

/// Clients with a connection each that send what their scripts say and keep their connections open.
/// A client whose connection is refused or closed sends nothing more. Not thread-safe.
class client_crowd {
public:
    client_crowd() = default;
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;
    client_crowd(client_crowd&&) = delete;
    client_crowd& operator=(client_crowd&&) = delete;
    /// Closes all connections.
    ~client_crowd();

    /// Opens the connections. Throws std::system_error when a socket cannot be created.
    void add(std::size_t clients, const endpoint& address, client_script script);

    /// Sends and reads until nothing has moved for a second, all connections are closed by the
    /// server, or a minute has passed. `observe` is called in between; while it returns true, what
    /// it observes still changes.
    void run(const std::function<bool()>& observe);

    /// Makes the clients send the ending of their scripts in the next `run`.
    void finish() { finishing_ = true; }

    /// Number of connections that the server has not closed.
    std::size_t open_connections() const;

private:
    struct client {
        int socket{-1};
        std::shared_ptr<const client_script> script;
        std::uint64_t sent{0};
        std::uint64_t received{0};
    };

    short wanted_events(const client& member) const;
    /// Returns whether bytes were sent or received, or the connection was closed.
    bool handle(client& member, int events);
    bool send_piece(client& member) const;
    std::string_view next_piece(const client& member) const;

    std::vector<client> clients_;
    bool finishing_{false};
};

} // namespace egretstile::platform::standins
