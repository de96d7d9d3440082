#pragma once

#include "common/route_table.hpp"
#include "proxy/link_control.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace egretstile::standins {

/// The proxy's links and the admin interface for them. Links are never removed. Thread-safe.
///
/// `POST /admin/links?name=N&port=P[&host=H][&listen=L]` adds a link and answers `{"port":L}`;
/// `POST /admin/links/N/target?port=P[&host=H]` changes the target of new connections;
/// `POST /admin/links/N/rule?mode=M[&direction=D][&bytes=B][&count=C][&delay_ms=T]` replaces the
/// rule (see link_rule); `POST /admin/links/N/reset` resets the link's connections;
/// `GET /admin/stats` gives the counts of each link.
class proxy_service {
public:
    proxy_service();

    const route_table& routes() const { return routes_; }

    /// Adds a link that listens at `listen_port` (0: chosen by the kernel) and returns the port.
    /// Throws std::invalid_argument when a link of this name exists.
    std::uint16_t add_link(const std::string& name, std::uint16_t listen_port,
                           const link_target& target);

private:
    std::shared_ptr<link_control> find(const std::string& name);
    service_answer add(const service_call& call);
    service_answer set_rule(const service_call& call);
    service_answer stats();

    route_table routes_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<link_control>> links_;
};

} // namespace egretstile::standins
