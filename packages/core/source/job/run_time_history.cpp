#include <egretstile/core/job/run_time_history.hpp>

#include <algorithm>
#include <cmath>

namespace egretstile {

namespace {

/// Images come from callers, so the number of those that are told apart is bounded.
constexpr std::size_t max_images = 1000;
/// Weight of the latest run. Larger for the first runs, so that the assumed mean of 1 counts as
/// much as three runs.
constexpr double latest_weight = 0.1;
constexpr double assumed_runs = 3.0;
/// A single run changes the mean at most as if it were this much shorter or longer than estimated.
constexpr double smallest_ratio = 0.1;
constexpr double largest_ratio = 10.0;
/// Number of runs of each kind for which the learned factor counts as much as the configured one.
constexpr double configured_weight = 8.0;
/// Largest multiple of the configured factor that is learned.
constexpr double largest_factor_multiple = 4.0;

void add_run(run_time_ratio& known, double ratio) {
    const double weight =
        std::max(latest_weight, 1.0 / (assumed_runs + 1.0 + static_cast<double>(known.runs)));
    const double deviation = std::abs(ratio - known.mean) / known.mean;
    known.mean += weight * (ratio - known.mean);
    known.spread += weight * (deviation - known.spread);
    ++known.runs;
}

} // namespace

void run_time_history::record(const std::string& image, bool remote, milliseconds estimate,
                              boot_clock::duration run_time) {
    if (estimate.count() <= 0) {
        return;
    }
    const double ratio = std::clamp(std::chrono::duration<double, std::milli>(run_time).count() /
                                        static_cast<double>(estimate.count()),
                                    smallest_ratio, largest_ratio);
    const bool has_own = by_image_.count(image) != 0 || by_image_.size() < max_images;
    ratios& known = has_own ? by_image_[image] : others_;
    add_run(remote ? known.remote : known.near, ratio);
}

const run_time_ratio& run_time_history::near_ratio(const std::string& image) const {
    return ratios_of(image).near;
}

double run_time_history::remote_factor(const std::string& image, double configured) const {
    const ratios& known = ratios_of(image);
    const double weight = std::min(known.near.runs, known.remote.runs);
    const double learned = std::clamp(known.remote.mean / known.near.mean, 1.0,
                                      std::max(1.0, configured * largest_factor_multiple));
    return std::max(1.0, (configured * configured_weight + learned * weight) /
                             (configured_weight + weight));
}

const run_time_history::ratios& run_time_history::ratios_of(const std::string& image) const {
    const auto found = by_image_.find(image);
    return found == by_image_.end() ? others_ : found->second;
}

} // namespace egretstile
