#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace egretstile {

/// Send times of the heartbeats to each entry. They are kept for one grant term, because the answer
/// to an older heartbeat can neither grant nor start a run. Not thread-safe.
class heartbeat_log {
public:
    explicit heartbeat_log(milliseconds grant_term)
        : grant_term_(grant_term) {}

    /// Records a heartbeat sent to `entry` at `now` and returns its sequence number. The numbers of
    /// all entries come from one counter, so they increase for each entry and are not reused after
    /// the send times of an entry are dropped.
    std::uint64_t add(const entry_id& entry, boot_time now);

    /// Send time of the heartbeat; nothing when it was not sent to `entry` or is older than the
    /// grant term at `now`.
    std::optional<boot_time> sent_at(const entry_id& entry, std::uint64_t sequence,
                                     boot_time now) const;

    /// Sequence number of the next heartbeat.
    std::uint64_t next_sequence() const { return next_sequence_; }

    /// Number of send times kept for all entries together.
    std::size_t size() const;

private:
    using send_times = std::map<std::uint64_t, boot_time>;

    void drop_expired(boot_time now);

    milliseconds grant_term_;
    std::uint64_t next_sequence_{1};
    std::map<entry_id, send_times> sent_by_entry_;
};

} // namespace egretstile
