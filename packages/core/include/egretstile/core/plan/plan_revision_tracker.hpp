#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <optional>

namespace egretstile {

/// The highest plan revision that a process has received, and the earliest possible time of the
/// last confirmation that it is current. Never returns to a lower revision. Not thread-safe.
class plan_revision_tracker {
public:
    /// Records that `revision` was current at `confirmed_at` or later. A revision lower than
    /// `revision()` is ignored; an equal one can only move the time forward. Returns whether the
    /// revision increased.
    bool confirm(revision_number revision, boot_time confirmed_at);

    /// Zero until the first confirmation.
    revision_number revision() const { return revision_; }

    /// Earliest possible time of the last confirmation; nothing before the first one.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

    /// Whether the last confirmation is at most `max_age` old at `now`.
    bool is_fresh(boot_time now, milliseconds max_age) const;

private:
    revision_number revision_{0};
    std::optional<boot_time> confirmed_at_;
};

} // namespace egretstile
