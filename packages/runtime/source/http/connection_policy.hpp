#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/http/http_refusal.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace egretstile {

enum class connection_phase : std::uint8_t {
    idle, ///< No byte of a request has arrived since the last response.
    reading_head,
    reading_body,
    handling, ///< The handler has the request.
    sending,  ///< The client has not read the whole response yet.
    draining  ///< After a refusal; input is read and dropped.
};

struct connection_facts {
    connection_phase phase{connection_phase::idle};
    /// When the phase began.
    boot_time since{};
    /// Bytes that the client has sent of the body, or has read of the response, in this phase.
    std::size_t bytes{0};
    /// Memory that the connection uses.
    std::size_t held_bytes{0};
    /// Whether the connection has carried a complete request.
    bool has_answered{false};
};

struct connection_time_limits {
    milliseconds header_timeout{3000};
    milliseconds idle_limit{90000};
    /// Connections that were idle for less are not closed when connections run short.
    milliseconds idle_floor{15000};
};

/// Status of the response that a refused request gets. Thread-safe.
int status_of(http_refusal reason);

/// Why a connection is to be closed now; nothing when it is within its limits. `is_short`: memory
/// or connections of the address run short, so the header's limit has no allowance. Thread-safe.
std::optional<http_refusal> overdue(const connection_facts& facts,
                                    const connection_time_limits& limits, bool is_short,
                                    boot_time now);

/// Rank of the connection for being closed when another client needs a connection; the highest is
/// closed first. Nothing: the connection is not closed for that. Thread-safe.
std::optional<double> connection_rank(const connection_facts& facts,
                                      const connection_time_limits& limits, boot_time now);

/// Rank of the connection for being closed when another one needs memory: the memory it holds times
/// how long it has held it, so that large and slow requests go first. Nothing: the connection is
/// not closed for that. Thread-safe.
std::optional<double> memory_rank(const connection_facts& facts, boot_time now);

} // namespace egretstile
