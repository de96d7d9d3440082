#include <egretstile/core/job/start_pacing.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// Fewer reports in a row with rejections may be due to a single event, such as a reconnection.
constexpr std::uint32_t tolerated_reports = 2;
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{1000};
/// Pauses of more doublings exceed the longest one.
constexpr std::uint32_t max_doublings = 4;
/// A trial that is neither listed nor rejected within this time is followed by another one.
constexpr milliseconds trial_timeout{3000};

} // namespace

void start_pacing::note_rejected(boot_time now) {
    ++rejecting_reports_;
    trial_open_ = false;
    if (is_limited()) {
        const std::uint32_t doublings =
            std::min(rejecting_reports_ - tolerated_reports - 1, max_doublings);
        paused_until_ = now + std::min(first_pause * (1U << doublings), longest_pause);
        trial_due_ = false;
    }
}

void start_pacing::note_ordered() {
    if (is_limited()) {
        trial_due_ = false;
        trial_open_ = true;
    }
}

void start_pacing::advance(boot_time now) {
    const bool trial_is_lost = trial_open_ && now >= paused_until_ + trial_timeout;
    trial_open_ = trial_open_ && !trial_is_lost;
    if (trial_is_lost) {
        paused_until_ = now;
    }
    trial_due_ = is_limited() && !trial_open_ && now >= paused_until_;
}

bool start_pacing::is_limited() const {
    return rejecting_reports_ > tolerated_reports;
}

} // namespace egretstile
