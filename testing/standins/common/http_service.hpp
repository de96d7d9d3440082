#pragma once

#include "common/route_table.hpp"

#include <cstdint>
#include <memory>

namespace egretstile::standins {

/// HTTP server on the loopback interface with one thread per connection.
class http_service {
public:
    /// Starts to serve calls. With `port` 0 the kernel chooses the port. `routes` must outlive the
    /// service. Throws Poco::Exception when the port is in use.
    http_service(std::uint16_t port, const route_table& routes, int max_connections);
    http_service(const http_service&) = delete;
    http_service& operator=(const http_service&) = delete;
    http_service(http_service&&) = delete;
    http_service& operator=(http_service&&) = delete;
    /// Closes all connections and waits for running handlers, which must return soon.
    ~http_service();

    std::uint16_t port() const;

    /// Number of connections that are being served. Thread-safe.
    int connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace egretstile::standins
