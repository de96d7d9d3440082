#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstddef>
#include <cstdint>

namespace egretstile::daemon {

/// Memory that a process with this much memory may use for jobs when it leads, in bytes.
/// `memory_mb` is zero when it is not known. Thread-safe.
std::size_t job_memory_limit(std::uint32_t memory_mb);

/// What an entry knows of the memory that the leader has left for jobs: the leader's last account,
/// less what this entry has accepted since. Not thread-safe.
class job_room {
public:
    /// Before the first account a quarter of `limit` counts as free, because other entries accept
    /// jobs, too.
    explicit job_room(std::size_t limit);

    void apply_account(const wire::job_memory& account);

    /// Counts a job that this entry is about to accept.
    void take(std::size_t bytes) { free_bytes_ -= static_cast<std::int64_t>(bytes); }

    bool admits(std::size_t bytes) const { return static_cast<std::int64_t>(bytes) <= free_bytes_; }

    /// When room is expected, from the last account.
    milliseconds expected_in() const { return expected_in_; }

private:
    std::int64_t free_bytes_;
    milliseconds expected_in_;
};

} // namespace egretstile::daemon
