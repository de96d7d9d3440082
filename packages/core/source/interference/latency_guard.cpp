#include <egretstile/core/interference/latency_guard.hpp>

#include <algorithm>

namespace egretstile {

namespace {

constexpr std::uint32_t full_speed = 100;

/// Largest share of its target that a task's latency takes; zero when none serves.
double worst_share(const std::vector<guarded_run>& runs) {
    double worst = 0;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0) {
            worst = std::max(worst, static_cast<double>(run.latency_ms) /
                                        static_cast<double>(run.target_latency_ms));
        }
    }
    return worst;
}

} // namespace

latency_guard::latency_guard(const latency_guard_settings& settings)
    : settings_(settings) {}

std::vector<speed_change> latency_guard::update(const std::vector<guarded_run>& runs,
                                                boot_time now) {
    if (now >= stepped_at_ + settings_.interval) {
        const double worst = worst_share(runs);
        if (worst > settings_.slow_down_at) {
            percent_ = static_cast<std::uint32_t>(percent_ * settings_.step_down);
            percent_ = percent_ < settings_.smallest_percent ? 0 : percent_;
            stepped_at_ = now;
        } else if (worst < settings_.speed_up_below && percent_ < full_speed) {
            percent_ = worst == 0 ? full_speed : std::min(full_speed, percent_ + settings_.step_up);
            stepped_at_ = now;
        }
    }
    std::vector<speed_change> changes;
    std::map<task_attempt, std::uint32_t> applied;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu) {
            continue;
        }
        const auto known = applied_.find(run.run);
        const std::uint32_t present = known == applied_.end() ? full_speed : known->second;
        if (present != percent_) {
            changes.push_back({run.run, percent_});
        }
        applied[run.run] = percent_;
    }
    applied_ = std::move(applied);
    return changes;
}

} // namespace egretstile
