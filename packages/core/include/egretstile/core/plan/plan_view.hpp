#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <optional>

namespace egretstile {

/// Highest plan revision that a process knows, and the earliest time at which it may have been
/// confirmed. Never goes back to a lower revision. Not thread-safe.
class plan_view {
public:
    /// Takes a confirmation that `revision` was current at `confirmed_at` or later. A lower
    /// revision than the known one is ignored; the same one only moves the time forward.
    /// Returns whether the revision rose.
    bool confirm(revision_number revision, boot_time confirmed_at);

    /// Zero until the first confirmation.
    revision_number revision() const { return revision_; }

    /// Earliest possible time of the last confirmation; nothing before the first one.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

    /// Whether a confirmation exists that is at most `bound` old at `now`.
    bool is_fresh(boot_time now, milliseconds bound) const;

private:
    revision_number revision_{0};
    std::optional<boot_time> confirmed_at_;
};

} // namespace egretstile
