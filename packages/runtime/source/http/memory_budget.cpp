#include <egretstile/runtime/http/memory_budget.hpp>

#include <algorithm>

namespace egretstile {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
constexpr std::uint32_t assumed_memory_mb = 160;
constexpr std::uint32_t assumed_max_fds = 4096;

/// What an address may use, as divisors of the memory and the descriptors of the process.
struct address_share {
    std::size_t memory_divisor;
    std::size_t min_bytes;
    std::size_t fd_divisor;
    std::size_t max_connections;
};

/// By `http_address`. The rest of the memory is for the process itself, for the socket buffers of
/// the kernel and for freed memory that the allocator keeps. The rest of the descriptors is for
/// agents, other entries and the store. The least shares hold the largest
/// request of an address: a body of a caller with its copies, or a heartbeat of 4 MiB.
constexpr std::array<address_share, http_address_names.size()> address_shares{
    {{4, 4 * bytes_per_mb, 4, 2000},
     {32, bytes_per_mb / 2, 16, 128},
     {16, bytes_per_mb, 64, 8},
     {8, 10 * bytes_per_mb, 32, 64}}};

constexpr std::size_t min_connections = 8;
/// Memory of a caller's connection that the kernel and the process need at most while nothing is
/// read from it.
constexpr std::size_t caller_connection_bytes = std::size_t{40} * 1024;
/// All agents of a failure domain connect at the same time after an outage.
constexpr std::size_t max_pending_handshakes = 512;
constexpr std::size_t handshake_fd_divisor = 8;

const address_share& limits_of(http_address address) {
    return address_shares.at(static_cast<std::size_t>(address));
}

} // namespace

memory_budget::memory_budget(std::uint32_t memory_mb, std::uint32_t max_fds)
    : max_fds_(max_fds == 0 ? assumed_max_fds : max_fds) {
    const std::size_t memory = bytes_per_mb * (memory_mb == 0 ? assumed_memory_mb : memory_mb);
    for (const address_share& row : address_shares) {
        shares_.emplace_back(std::max(memory / row.memory_divisor, row.min_bytes));
    }
}

memory_share& memory_budget::share(http_address address) {
    return shares_.at(static_cast<std::size_t>(address));
}

const memory_share& memory_budget::share(http_address address) const {
    return shares_.at(static_cast<std::size_t>(address));
}

std::size_t memory_budget::max_connections(http_address address) const {
    const address_share& row = limits_of(address);
    std::size_t most = std::min(max_fds_ / row.fd_divisor, row.max_connections);
    if (address == http_address::callers) {
        most = std::min(most, share(address).limit() / caller_connection_bytes);
    }
    return std::max(most, min_connections);
}

std::size_t memory_budget::max_handshakes() const {
    return std::clamp(max_fds_ / handshake_fd_divisor, min_connections, max_pending_handshakes);
}

} // namespace egretstile
