#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>

namespace egretstile {

/// Limits the starts that are ordered on a VM whose agent rejects them: after several reports with
/// rejections, single starts are tried, with growing pauses, until the runner lists one. Not
/// thread-safe. Precondition of all methods: `now` does not decrease between calls.
class start_pacing {
public:
    /// A report has rejected starts that should have been carried out.
    void note_rejected(boot_time now);

    /// The runner has listed a run whose start was ordered.
    void note_listed() { *this = start_pacing(); }

    /// A start was ordered.
    void note_ordered();

    /// Begins a pass in which starts may be ordered.
    void advance(boot_time now);

    bool is_limited() const;

    /// Whether another start may be ordered in this pass.
    bool admits_start() const { return !is_limited() || trial_due_; }

private:
    std::uint32_t rejecting_reports_{0};
    boot_time paused_until_{};
    /// The pause has ended, and no start was ordered since.
    bool trial_due_{false};
    /// A start was ordered that is neither listed nor rejected.
    bool trial_open_{false};
};

} // namespace egretstile
