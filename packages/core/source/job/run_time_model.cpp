#include <egretstile/core/job/run_time_model.hpp>

#include <algorithm>
#include <chrono>

namespace egretstile {

namespace {

/// Weight of a new observation: about that of one task in a step of twenty, so that the tasks of
/// one step change the ratio by two thirds of the difference.
constexpr double observation_weight = 0.05;

} // namespace

void run_time_model::observe(const std::string& queue, boot_clock::duration actual,
                             std::uint32_t estimate_ms) {
    if (estimate_ms == 0) {
        return;
    }
    const double actual_ms = std::chrono::duration<double, std::milli>(actual).count();
    const double observed = std::clamp(actual_ms / estimate_ms, min_ratio, max_ratio);
    double& ratio = ratios_.emplace(queue, min_ratio).first->second;
    ratio += observation_weight * (observed - ratio);
}

double run_time_model::ratio(const std::string& queue) const {
    const auto known = ratios_.find(queue);
    return known == ratios_.end() ? min_ratio : known->second;
}

} // namespace egretstile
