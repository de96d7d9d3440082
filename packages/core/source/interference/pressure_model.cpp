#include <egretstile/core/interference/pressure_model.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace egretstile {

namespace {

/// Headroom below which a task counts as overloaded.
constexpr double overload = 0.9;

/// Share of a VM that is too small to press on anything.
constexpr double smallest_share = 0.002;

double headroom_of(const guarded_run& run) {
    return static_cast<double>(run.target_latency_ms) / static_cast<double>(run.latency_ms);
}

/// Share of the VM that the tasks of each image that fills have used.
std::map<std::string, double> use_of(const std::vector<guarded_run>& runs, std::int64_t capacity) {
    std::map<std::string, double> use;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu && run.used_millicores > 0) {
            use[run.image] += static_cast<double>(run.used_millicores) /
                              static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
    }
    return use;
}

double other_use(const std::vector<guarded_run>& runs) {
    double use = 0;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu && run.target_latency_ms == 0) {
            use += static_cast<double>(run.cpu_millicores);
        }
    }
    return use;
}

/// Moves `smoothed` towards `present` and returns it.
const std::map<std::string, double>& smooth(std::map<std::string, double>& smoothed,
                                            const std::map<std::string, double>& present,
                                            double weight) {
    for (const auto& [image, share] : present) {
        smoothed.emplace(image, 0.0);
    }
    for (auto row = smoothed.begin(); row != smoothed.end();) {
        const auto now = present.find(row->first);
        const double wanted = now == present.end() ? 0.0 : now->second;
        row->second += (wanted - row->second) * weight;
        row = row->second < smallest_share && wanted == 0 ? smoothed.erase(row) : std::next(row);
    }
    return smoothed;
}

double sum_of(const std::map<std::string, double>& use) {
    double sum = 0;
    for (const auto& [image, share] : use) {
        sum += share;
    }
    return sum;
}

} // namespace

pressure_model::pressure_model(const pressure_model_settings& settings)
    : settings_(settings) {}

void pressure_model::observe(const std::string& vm, const std::vector<guarded_run>& runs,
                             std::int64_t capacity, boot_time now) {
    vm_use& known = uses_[vm];
    if (known.observed_at != boot_time() && now < known.observed_at + settings_.interval) {
        return;
    }
    known.observed_at = now;
    const std::map<std::string, double> use =
        smooth(known.smoothed, use_of(runs, capacity), settings_.use_weight);
    const double whole = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    const bool saturated =
        sum_of(use) + (serving_use(runs) + other_use(runs)) / whole > settings_.saturated_share;
    std::map<task_attempt, serving_task>& tasks = vms_[vm];
    std::set<task_attempt> present;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0) {
            present.insert(run.run);
            serving_task& task = tasks[run.run];
            tasks_[run.run] = &task;
            observe_task(task, run, use, saturated, now);
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
                                  const std::map<std::string, double>& use, bool saturated,
                                  boot_time now) {
    if (!run.warm || run.latency_ms == 0) {
        task.warm_since = boot_time();
        return;
    }
    if (task.warm_since == boot_time()) {
        task.warm_since = now;
    }
    const double headroom = headroom_of(run);
    task.seen = headroom;
    if (headroom >= settings_.drained_headroom || now >= task.overloaded_at + settings_.drain) {
        task.overloaded_at = boot_time();
    }
    const bool draining = task.overloaded_at != boot_time();
    if (headroom < overload) {
        task.overloaded_at = now;
    }
    if (now < task.warm_since + settings_.warm_up || draining || saturated) {
        task.sampled_at = boot_time();
        return;
    }
    if (task.sampled_at != boot_time() && now < task.sampled_at + settings_.longest_gap) {
        learn_slopes(task, run, use, now);
    }
    double alone = headroom;
    for (const auto& [image, share] : use) {
        alone += pair_of(run.image, image).mean * share;
    }
    alone = std::min(alone, settings_.idle_headroom);
    // An overload says nothing about the headroom that is left without it.
    if (!task.alone) {
        task.alone = alone;
    } else if (headroom >= overload) {
        *task.alone += (alone - *task.alone) * settings_.own_weight;
    }
    task.sampled_at = now;
    task.sampled_headroom = headroom;
    task.sampled_use = use;
}

void pressure_model::learn_slopes(const serving_task& task, const guarded_run& run,
                                  const std::map<std::string, double>& use, boot_time now) {
    std::map<std::string, double> change = use;
    for (const auto& [image, share] : task.sampled_use) {
        change[image] -= share;
    }
    const double headroom = headroom_of(run);
    const double drift =
        settings_.drift * std::chrono::duration<double>(now - task.sampled_at).count();
    double variance =
        variance_of(run, headroom) + variance_of(run, task.sampled_headroom) + drift * drift;
    double expected = 0;
    for (const auto& [image, share] : change) {
        const estimate& pair = pair_of(run.image, image);
        expected -= pair.mean * share;
        variance += pair.variance * share * share;
    }
    const double seen = headroom - task.sampled_headroom;
    if (headroom < overload && expected < seen) {
        return; // A latency has no upper bound: an overload only tells how large a loss is at
                // least.
    }
    const double surprise =
        std::clamp(seen - expected, -settings_.largest_surprise, settings_.largest_surprise);
    for (const auto& [image, share] : change) {
        estimate& pair = pair_of(run.image, image);
        const double gain = pair.variance * share / variance;
        pair.mean = std::clamp(pair.mean - gain * surprise, 0.0, settings_.largest_slope);
        pair.variance = std::max(pair.variance * (1.0 - gain * share), least_variance(pair.mean));
    }
}

double pressure_model::least_variance(double slope) const {
    const double error = slope * settings_.smallest_error_share;
    return settings_.smallest_variance + error * error;
}

double pressure_model::serving_use(const std::vector<guarded_run>& runs) const {
    double use = 0;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0) {
            const double alone = own_headroom(run.run, settings_.idle_headroom / 2);
            use += std::clamp(1.0 - alone / settings_.idle_headroom, 0.0, 1.0) *
                   static_cast<double>(run.cpu_millicores);
        }
    }
    return use;
}

double pressure_model::variance_of(const guarded_run& run, double headroom) const {
    const double rounding =
        headroom * headroom * settings_.rounding_ms / static_cast<double>(run.target_latency_ms);
    return settings_.headroom_error * settings_.headroom_error + rounding * rounding;
}

pressure_model::estimate& pressure_model::pair_of(const std::string& serving_image,
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
    return known == tasks_.end() ? fallback : known->second->alone.value_or(fallback);
}

double pressure_model::seen_headroom(const task_attempt& run) const {
    const auto known = tasks_.find(run);
    return known == tasks_.end() ? 0.0 : known->second->seen;
}

void pressure_model::adopt(const image_pressure& learned) {
    estimate& pair = pair_of(learned.serving_image, learned.filling_image);
    if (learned.variance <= pair.variance) {
        const double slope = std::clamp(learned.slope, 0.0, settings_.largest_slope);
        pair = {slope, std::max(learned.variance, least_variance(slope))};
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
