#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace egretstile {

/// Part of the memory of a process that the buffers of one address may use. Counts bytes that its
/// users report; allocates nothing. Not thread-safe.
class memory_share {
public:
    explicit memory_share(std::size_t limit_bytes)
        : limit_(limit_bytes) {}

    std::size_t limit() const { return limit_; }

    std::size_t used() const { return used_; }

    /// Whether `more` further bytes stay within the limit.
    bool can_hold(std::size_t more) const { return used_ <= limit_ && more <= limit_ - used_; }

    /// Whether more than three quarters of the limit are used.
    bool is_short() const { return used_ > limit_ / 4 * 3; }

    /// Replaces the `before` bytes of one user by `after` bytes. May exceed the limit, so that an
    /// accepted request can be completed. Precondition: `before` bytes were reported earlier.
    void change(std::size_t before, std::size_t after) { used_ = used_ - before + after; }

private:
    std::size_t limit_;
    std::size_t used_{0};
};

/// Addresses of a process that are served over HTTP.
enum class http_address : std::uint8_t { callers, readiness, operations, registration };

inline constexpr std::array<enum_name<http_address>, 4> http_address_names{
    {{http_address::callers, "callers"},
     {http_address::readiness, "readiness"},
     {http_address::operations, "operations"},
     {http_address::registration, "registration"}}};

/// Memory and connections that each HTTP address of a process may use. Each address has a share of
/// its own, so that clients of one address cannot use up the share of another. Not thread-safe.
class memory_budget {
public:
    /// `memory_mb` and `max_fds` are those of the process; zero: unknown, the smallest VM is
    /// assumed.
    memory_budget(std::uint32_t memory_mb, std::uint32_t max_fds);

    memory_share& share(http_address address);
    const memory_share& share(http_address address) const;

    /// Most connections of clients that the address may have open.
    std::size_t max_connections(http_address address) const;
    /// Most connections of peers that have not authenticated yet.
    std::size_t max_handshakes() const;

private:
    std::uint32_t max_fds_;
    std::vector<memory_share> shares_;
};

} // namespace egretstile
