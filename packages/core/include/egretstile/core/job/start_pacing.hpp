#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>
#include <optional>

namespace egretstile {

/// Limits the starts that are ordered on a VM whose agent rejects them: when starts of several
/// rounds were rejected and none was listed, single starts are tried, with growing pauses, until
/// the runner lists one. A round ends with its first rejection; all starts that were ordered before
/// belong to it. Not thread-safe. Precondition of all methods: `now` does not decrease between
/// calls.
class start_pacing {
public:
    /// A start that should have been carried out was rejected.
    void note_rejected(boot_time ordered_at, boot_time now);

    /// The runner has listed a run whose start was ordered.
    void reset() { *this = start_pacing(); }

    /// A start was ordered.
    void note_ordered(boot_time now);

    /// Begins a pass in which starts may be ordered.
    void advance(boot_time now);

    bool is_limited() const;

    /// Whether another start may be ordered in this pass.
    bool admits_start() const { return !is_limited() || trial_due_; }

private:
    std::uint32_t rejected_rounds_{0};
    /// When the last round ended.
    boot_time rejected_at_{};
    boot_time paused_until_{};
    /// The pause has ended, and no start was ordered since.
    bool trial_due_{false};
    /// When a start was ordered that is neither listed nor rejected; nothing: there is none.
    std::optional<boot_time> trial_at_;
};

} // namespace egretstile
