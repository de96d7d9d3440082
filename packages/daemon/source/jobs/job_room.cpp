#include "jobs/job_room.hpp"

namespace egretstile::daemon {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
/// Memory of the smallest VM, for processes that do not know theirs.
constexpr std::uint32_t assumed_memory_mb = 160;
/// Share of the memory for jobs. Callers' requests may take a quarter; the rest is for the process
/// itself and for memory that the allocator keeps.
constexpr std::size_t job_memory_percent = 40;
constexpr std::size_t unknown_share = 4;
constexpr milliseconds unknown_wait{2000};

} // namespace

std::size_t job_memory_limit(std::uint32_t memory_mb) {
    return bytes_per_mb * (memory_mb == 0 ? assumed_memory_mb : memory_mb) * job_memory_percent /
           100;
}

job_room::job_room(std::size_t limit)
    : free_bytes_(static_cast<std::int64_t>(limit / unknown_share))
    , expected_in_(unknown_wait) {}

void job_room::apply_account(const wire::job_memory& account) {
    free_bytes_ = account.free_bytes;
    expected_in_ = milliseconds(account.room_in_ms);
}

} // namespace egretstile::daemon
