#pragma once

#include "common/route_table.hpp"

#include <cstdint>
#include <memory>

namespace egretstile::standins {

/// HTTP server on the loopback interface with a thread for each connection.
class http_service {
public:
    /// Listens and serves from now on. `port` zero: chosen by the kernel. `routes` must outlive the
    /// service. Throws Poco::Exception when the port is taken.
    http_service(std::uint16_t port, const route_table& routes, int max_connections);
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    http_service(http_service&&) = delete;
    http_service& operator=(http_service&&) = delete;
    /// Closes all connections; handlers must return soon.
    ~http_service();

    std::uint16_t port() const;

    /// Connections that are served now. Thread-safe.
    int connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace egretstile::standins
