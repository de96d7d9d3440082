#pragma once

#include "telemetry/metrics.hpp"

#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/http/memory_budget.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretstile::daemon {

/// Limits, counters and gauges of the HTTP addresses of one process; docs/metrics.md lists the
/// metrics. For the event loop's thread only.
class http_limits {
public:
    /// `memory_mb` and `max_fds` are those of the process; zero: unknown.
    http_limits(metrics& registry, std::uint32_t memory_mb, std::uint32_t max_fds);
    http_limits(const http_limits&) = delete;
    http_limits& operator=(const http_limits&) = delete;
    http_limits(http_limits&&) = delete;
    http_limits& operator=(http_limits&&) = delete;
    ~http_limits() = default;

    /// Limits that the legitimate clients of the address stay within. The result refers to this
    /// object.
    http_server::limits limits_for(http_address address);
    /// Counts the refusals of the address. The result refers to this object.
    http_server::refusal_observer observer_for(http_address address);

    std::size_t max_handshakes() const { return budget_.max_handshakes(); }

    /// Sets the gauges; called when the metrics are read.
    void update_gauges();

private:
    metrics& registry_;
    memory_budget budget_;
    std::array<prometheus::Gauge*, http_address_names.size()> buffer_bytes_{};
};

} // namespace egretstile::daemon
