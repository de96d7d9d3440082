#include "net/http_limits.hpp"

#include <algorithm>
#include <string>

namespace egretstile::daemon {

namespace {

/// A caller's connection that is not read holds at most about twice this in the kernel; still
/// carries the largest body within a few round trips.
constexpr int caller_socket_buffer_bytes = 32 * 1024;
/// Requests to these addresses have no body and few header fields.
constexpr std::size_t max_small_head_bytes = std::size_t{8} * 1024;
constexpr int small_socket_buffer_bytes = 16 * 1024;
/// A runner's heartbeat has less than a kilobyte.
constexpr std::size_t max_heartbeat_bytes = std::size_t{64} * 1024;
/// The runner of the agent's own VM may send larger ones.
constexpr std::size_t max_local_heartbeat_bytes = std::size_t{4} * 1024 * 1024;
/// A heartbeat is decoded at once and not kept.
constexpr std::size_t heartbeat_copies = 2;
/// Largest body that an operator can allow, as a part of the memory of all callers.
constexpr std::size_t body_divisor = 8;

} // namespace

http_limits::http_limits(metrics& registry, std::uint32_t memory_mb, std::uint32_t max_fds)
    : registry_(registry)
    , budget_(memory_mb, max_fds) {
    for (const enum_name<http_address>& row : http_address_names) {
        buffer_bytes_.at(static_cast<std::size_t>(row.value)) =
            &registry_.gauge("egretstile_http_buffer_bytes",
                             "Memory of requests and responses that counts against the limit.",
                             {{"address", std::string(row.name)}});
    }
}

http_server::limits http_limits::limits_for(http_address address) {
    http_server::limits limits;
    limits.max_connections = budget_.max_connections(address);
    limits.memory = &budget_.share(address);
    limits.name = name_of(http_address_names, address);
    switch (address) {
    case http_address::callers:
        limits.max_body_bytes = limits.memory->limit() / body_divisor;
        limits.socket_buffer_bytes = caller_socket_buffer_bytes;
        break;
    case http_address::readiness:
    case http_address::operations:
        limits.max_head_bytes = max_small_head_bytes;
        limits.max_body_bytes = 0;
        limits.socket_buffer_bytes =
            address == http_address::readiness ? small_socket_buffer_bytes : 0;
        break;
    case http_address::registration:
        limits.max_body_bytes = max_heartbeat_bytes;
        limits.max_local_body_bytes = max_local_heartbeat_bytes;
        limits.body_copies = heartbeat_copies;
        break;
    }
    return limits;
}

http_server::refusal_observer http_limits::observer_for(http_address address) {
    std::array<prometheus::Counter*, http_refusal_names.size()> counters{};
    for (const enum_name<http_refusal>& row : http_refusal_names) {
        counters.at(static_cast<std::size_t>(row.value)) =
            &registry_.counter("egretstile_http_refusals_total",
                               "Requests refused and connections closed, by address and reason.",
                               {{"address", std::string(name_of(http_address_names, address))},
                                {"reason", std::string(row.name)}});
    }
    return [counters](http_refusal reason) {
        counters.at(static_cast<std::size_t>(reason))->Increment();
    };
}

void http_limits::update_gauges() {
    for (const enum_name<http_address>& row : http_address_names) {
        buffer_bytes_.at(static_cast<std::size_t>(row.value))
            ->Set(static_cast<double>(budget_.share(row.value).used()));
    }
}

} // namespace egretstile::daemon
