#include <egretstile/core/interference/pressure_model.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace egretstile {

namespace {

/// A serving task with a smaller headroom counts as overloaded.
constexpr double overload_headroom = 0.9;

/// Smaller shares of a VM are too small to slow down any task.
constexpr double min_tracked_share = 0.002;

double headroom_of(const guarded_run& run) {
    return static_cast<double>(run.target_latency_ms) / static_cast<double>(run.latency_ms);
}

/// Share of the VM that the tasks of each filling image used recently.
std::map<std::string, double> usage_by_image(const std::vector<guarded_run>& runs,
                                             std::int64_t capacity) {
    std::map<std::string, double> usage;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu && run.used_millicores > 0) {
            usage[run.image] += static_cast<double>(run.used_millicores) /
                                static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
    }
    return usage;
}

/// Millicores reserved by tasks that neither serve nor fill.
double other_reserved_millicores(const std::vector<guarded_run>& runs) {
    double reserved = 0;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu && run.target_latency_ms == 0) {
            reserved += static_cast<double>(run.cpu_millicores);
        }
    }
    return reserved;
}

/// Moves `smoothed` towards `present` by exponential smoothing and returns it.
const std::map<std::string, double>& smooth(std::map<std::string, double>& smoothed,
                                            const std::map<std::string, double>& present,
                                            double weight) {
    for (const auto& [image, share] : present) {
        smoothed.emplace(image, 0.0);
    }
    for (auto entry = smoothed.begin(); entry != smoothed.end();) {
        const auto found = present.find(entry->first);
        const double target = found == present.end() ? 0.0 : found->second;
        entry->second += (target - entry->second) * weight;
        entry = entry->second < min_tracked_share && target == 0 ? smoothed.erase(entry)
                                                                 : std::next(entry);
    }
    return smoothed;
}

double sum_of(const std::map<std::string, double>& usage) {
    double sum = 0;
    for (const auto& [image, share] : usage) {
        sum += share;
    }
    return sum;
}

} // namespace

pressure_model::pressure_model(const pressure_model_settings& settings)
    : settings_(settings) {}

void pressure_model::observe(const std::string& vm, const std::vector<guarded_run>& runs,
                             std::int64_t capacity, boot_time now) {
    vm_usage& state = usages_[vm];
    if (state.observed_at != boot_time() && now < state.observed_at + settings_.sample_interval) {
        return;
    }
    state.observed_at = now;
    const std::map<std::string, double> usage =
        smooth(state.smoothed, usage_by_image(runs, capacity), settings_.usage_weight);
    const double vm_millicores = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    const bool saturated =
        sum_of(usage) +
            (serving_used_millicores(runs) + other_reserved_millicores(runs)) / vm_millicores >
        settings_.saturated_share;
    std::map<task_attempt, serving_task>& tasks = vms_[vm];
    std::set<task_attempt> present;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0) {
            present.insert(run.run);
            serving_task& task = tasks[run.run];
            tasks_[run.run] = &task;
            observe_task(task, run, usage, saturated, now);
        }
    }
    for (auto task = tasks.begin(); task != tasks.end();) {
        if (present.count(task->first) != 0) {
            ++task;
            continue;
        }
        const auto indexed = tasks_.find(task->first);
        if (indexed != tasks_.end() && indexed->second == &task->second) {
            tasks_.erase(indexed);
        }
        task = tasks.erase(task);
    }
}

void pressure_model::observe_task(serving_task& task, const guarded_run& run,
                                  const std::map<std::string, double>& usage, bool saturated,
                                  boot_time now) {
    if (!run.warm || run.latency_ms == 0) {
        task.warm_since = boot_time();
        return;
    }
    if (task.warm_since == boot_time()) {
        task.warm_since = now;
    }
    const double headroom = headroom_of(run);
    task.last_headroom = headroom;
    if (headroom >= settings_.drained_headroom ||
        now >= task.overloaded_at + settings_.backlog_drain_time) {
        task.overloaded_at = boot_time();
    }
    const bool draining = task.overloaded_at != boot_time();
    if (headroom < overload_headroom) {
        task.overloaded_at = now;
    }
    if (now < task.warm_since + settings_.warm_up || draining || saturated) {
        task.sampled_at = boot_time();
        return;
    }
    if (task.sampled_at != boot_time() && now < task.sampled_at + settings_.max_sample_gap) {
        learn_slopes(task, run, usage, now);
    }
    double own = headroom;
    for (const auto& [image, share] : usage) {
        own += estimate_for(run.image, image).mean * share;
    }
    own = std::min(own, settings_.idle_headroom);
    // The headroom during an overload does not show the headroom without filling tasks.
    if (!task.own_headroom) {
        task.own_headroom = own;
    } else if (headroom >= overload_headroom) {
        *task.own_headroom += (own - *task.own_headroom) * settings_.own_headroom_weight;
    }
    task.sampled_at = now;
    task.sampled_headroom = headroom;
    task.sampled_usage = usage;
}

void pressure_model::learn_slopes(const serving_task& task, const guarded_run& run,
                                  const std::map<std::string, double>& usage, boot_time now) {
    std::map<std::string, double> change = usage;
    for (const auto& [image, share] : task.sampled_usage) {
        change[image] -= share;
    }
    const double headroom = headroom_of(run);
    const double headroom_drift =
        settings_.headroom_drift * std::chrono::duration<double>(now - task.sampled_at).count();
    double variance = measurement_variance(run, headroom) +
                      measurement_variance(run, task.sampled_headroom) +
                      headroom_drift * headroom_drift;
    double expected_change = 0;
    for (const auto& [image, share] : change) {
        const estimate& pair = estimate_for(run.image, image);
        expected_change -= pair.mean * share;
        variance += pair.variance * share * share;
    }
    const double observed_change = headroom - task.sampled_headroom;
    if (headroom < overload_headroom && expected_change < observed_change) {
        // Latency has no upper bound in an overload and the headroom approaches zero, so the
        // observed loss of headroom is only a lower bound of what the filling tasks take.
        return;
    }
    const double residual = std::clamp(observed_change - expected_change, -settings_.max_residual,
                                       settings_.max_residual);
    for (const auto& [image, share] : change) {
        estimate& pair = estimate_for(run.image, image);
        const double gain = pair.variance * share / variance;
        pair.mean = std::clamp(pair.mean - gain * residual, 0.0, settings_.max_slope);
        pair.variance = std::max(pair.variance * (1.0 - gain * share), variance_floor(pair.mean));
    }
}

double pressure_model::variance_floor(double slope) const {
    const double error = slope * settings_.min_relative_error;
    return settings_.min_variance + error * error;
}

double pressure_model::serving_used_millicores(const std::vector<guarded_run>& runs) const {
    double usage = 0;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0) {
            const double own = own_headroom(run.run, settings_.idle_headroom / 2);
            usage += std::clamp(1.0 - own / settings_.idle_headroom, 0.0, 1.0) *
                     static_cast<double>(run.cpu_millicores);
        }
    }
    return usage;
}

double pressure_model::measurement_variance(const guarded_run& run, double headroom) const {
    const double rounding = headroom * headroom * settings_.latency_rounding_ms /
                            static_cast<double>(run.target_latency_ms);
    return settings_.headroom_error * settings_.headroom_error + rounding * rounding;
}

pressure_model::estimate& pressure_model::estimate_for(const std::string& serving_image,
                                                       const std::string& filling_image) {
    return slopes_
        .try_emplace({serving_image, filling_image},
                     estimate{settings_.prior_slope, settings_.prior_variance})
        .first->second;
}

double pressure_model::slope(const std::string& serving_image,
                             const std::string& filling_image) const {
    const auto known = slopes_.find({serving_image, filling_image});
    return known == slopes_.end() ? settings_.prior_slope : known->second.mean;
}

std::optional<image_pressure> pressure_model::known(const std::string& serving_image,
                                                    const std::string& filling_image) const {
    const auto found = slopes_.find({serving_image, filling_image});
    if (found == slopes_.end()) {
        return std::nullopt;
    }
    return image_pressure{serving_image, filling_image, found->second.mean, found->second.variance};
}

double pressure_model::own_headroom(const task_attempt& run, double fallback) const {
    const auto known = tasks_.find(run);
    return known == tasks_.end() ? fallback : known->second->own_headroom.value_or(fallback);
}

bool pressure_model::knows_own_headroom(const task_attempt& run) const {
    const auto known = tasks_.find(run);
    return known != tasks_.end() && known->second->own_headroom.has_value();
}

double pressure_model::last_headroom(const task_attempt& run) const {
    const auto known = tasks_.find(run);
    return known == tasks_.end() ? 0.0 : known->second->last_headroom;
}

void pressure_model::merge_pressure(const image_pressure& learned) {
    estimate& pair = estimate_for(learned.serving_image, learned.filling_image);
    if (learned.variance <= pair.variance) {
        const double slope = std::clamp(learned.slope, 0.0, settings_.max_slope);
        pair = {slope, std::max(learned.variance, variance_floor(slope))};
    }
}

std::vector<image_pressure> pressure_model::pressures() const {
    std::vector<image_pressure> rows;
    for (const auto& [pair, estimated] : slopes_) {
        if (estimated.variance < settings_.prior_variance) {
            rows.push_back({pair.first, pair.second, estimated.mean, estimated.variance});
        }
    }
    return rows;
}

} // namespace egretstile
