#include <egretstile/core/job/start_pacing.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// Fewer rounds may be due to a single event, such as a connection that is opened again.
constexpr std::uint32_t tolerated_rounds = 2;
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{1000};
/// Pauses of more doublings exceed the longest one.
constexpr std::uint32_t max_doublings = 4;
/// A trial that is neither listed nor rejected within this time is followed by another one.
constexpr milliseconds trial_timeout{3000};

} // namespace

void start_pacing::note_rejected(boot_time ordered_at, boot_time now) {
    if (rejected_rounds_ > 0 && ordered_at <= rejected_at_) {
        return;
    }
    ++rejected_rounds_;
    rejected_at_ = now;
    trial_at_.reset();
    if (is_limited()) {
        const std::uint32_t doublings =
            std::min(rejected_rounds_ - tolerated_rounds - 1, max_doublings);
        paused_until_ = now + std::min(first_pause * (1U << doublings), longest_pause);
        trial_due_ = false;
    }
}

void start_pacing::note_ordered(boot_time now) {
    if (is_limited()) {
        trial_due_ = false;
        trial_at_ = now;
    }
}

void start_pacing::advance(boot_time now) {
    if (trial_at_ && now >= *trial_at_ + trial_timeout) {
        trial_at_.reset();
    }
    trial_due_ = is_limited() && !trial_at_ && now >= paused_until_;
}

bool start_pacing::is_limited() const {
    return rejected_rounds_ > tolerated_rounds;
}

} // namespace egretstile
