#include <egretstile/core/interference/latency_guard.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace egretstile {

namespace {

constexpr std::uint32_t full_speed_percent = 100;
/// Speeds are rounded down to multiples of this, because each change costs a call to the runner.
constexpr std::uint32_t percent_step = 5;
/// Smaller increases are postponed, except to full speed.
constexpr std::uint32_t min_percent_rise = 10;

/// Sum of the processor time of the runs for which `fills_idle_cpu` equals `fills` and that
/// have a target latency if `serves` is true, or none otherwise.
std::int64_t sum_of(const std::vector<guarded_run>& runs, bool fills, bool serves) {
    std::int64_t sum = 0;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu == fills && (run.target_latency_ms > 0) == serves) {
            sum += run.cpu_millicores;
        }
    }
    return sum;
}

std::uint32_t to_percent(double share) {
    const double steps = std::clamp(share, 0.0, 1.0) * full_speed_percent / percent_step;
    return static_cast<std::uint32_t>(std::floor(steps)) * percent_step;
}

/// Whether a speed change from `present` to `wanted` percent is worth a call to the runner.
bool should_change(std::uint32_t present, std::uint32_t wanted) {
    return wanted < present || wanted >= present + min_percent_rise ||
           (wanted == full_speed_percent && present != full_speed_percent);
}

} // namespace

double fillable_millicores(const sharing_model& model, std::int64_t capacity,
                           double serving_used_millicores, std::int64_t others) {
    // Without serving tasks there is no latency to protect, so the whole VM may be used.
    const double share = serving_used_millicores > 0 ? model.max_utilization : 1.0;
    return std::max(0.0, static_cast<double>(capacity) * share - static_cast<double>(others) -
                             serving_used_millicores);
}

latency_guard::latency_guard(const latency_guard_settings& settings)
    : settings_(settings)
    , model_(settings.pressure) {}

void latency_guard::observe(const std::vector<guarded_run>& runs, std::int64_t capacity,
                            boot_time now) {
    model_.observe("", runs, capacity, now);
}

std::vector<speed_change> latency_guard::update(const std::vector<guarded_run>& runs,
                                                std::int64_t capacity, boot_time now) {
    const std::map<std::string, std::uint32_t> percents =
        choose_percents(runs, capacity, find_protected_tasks(runs, capacity, now));
    std::vector<speed_change> changes;
    std::map<task_attempt, std::uint32_t> applied_percents;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu) {
            continue;
        }
        const std::uint32_t percent = percents.at(run.image);
        const auto found = applied_percents_.find(run.run);
        const std::uint32_t present =
            found == applied_percents_.end() ? full_speed_percent : found->second;
        const bool changes_now = must_repeat(run.run, now) || should_change(present, percent);
        if (changes_now) {
            changes.push_back({run.run, percent});
        }
        applied_percents[run.run] = changes_now ? percent : present;
    }
    applied_percents_ = std::move(applied_percents);
    std::erase_if(unconfirmed_,
                  [this](const task_attempt& run) { return applied_percents_.count(run) == 0; });
    std::erase_if(late_changes_, [this, now](const auto& row) {
        return applied_percents_.count(row.first) == 0 || now >= row.second.possible_until;
    });
    return changes;
}

void latency_guard::change_unanswered(const task_attempt& run, boot_time now) {
    unconfirmed_.insert(run);
    late_changes_[run] = {now + settings_.late_change_limit, now + settings_.late_change_repeat};
}

bool latency_guard::must_repeat(const task_attempt& run, boot_time now) {
    const bool was_unconfirmed = unconfirmed_.erase(run) != 0;
    const auto late = late_changes_.find(run);
    if (late == late_changes_.end() || now < late->second.repeat_at) {
        return was_unconfirmed;
    }
    late->second.repeat_at = now + settings_.late_change_repeat;
    return true;
}

std::vector<latency_guard::protected_task>
latency_guard::find_protected_tasks(const std::vector<guarded_run>& runs, std::int64_t capacity,
                                    boot_time now) {
    std::vector<protected_task> tasks;
    std::map<task_attempt, boot_time> over;
    std::map<task_attempt, boot_time> undisturbed;
    std::map<task_attempt, boot_time> ignored;
    least_headroom_ = 0;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms == 0) {
            continue;
        }
        const double headroom = model_.last_headroom(run.run);
        if (headroom > 0 && (least_headroom_ == 0 || headroom < least_headroom_)) {
            least_headroom_ = headroom;
        }
        const auto over_since = over_target_since_.find(run.run);
        const bool was_over = over_since != over_target_since_.end();
        const bool is_over =
            headroom > 0 && headroom < (was_over ? settings_.pressure.drained_headroom : 1.0);
        if (is_over) {
            over.emplace(run.run, was_over ? over_since->second : now);
            const bool is_undisturbed =
                current_headroom_loss(run.image, runs, capacity) < settings_.negligible_loss;
            const auto since = undisturbed_since_.find(run.run);
            if (is_undisturbed) {
                undisturbed[run.run] = since == undisturbed_since_.end() ? now : since->second;
            }
            if (is_undisturbed && now >= undisturbed[run.run] + settings_.overload_detection_time) {
                ignored[run.run] = now + settings_.ignore_time;
            }
        }
        const auto until = ignored_until_.find(run.run);
        if (until != ignored_until_.end() && now < until->second) {
            ignored.emplace(run.run, until->second);
        }
        if (ignored.count(run.run) != 0) {
            continue;
        }
        const double headroom_without_filling =
            model_.own_headroom(run.run, settings_.default_headroom);
        tasks.push_back(
            {run.image,
             is_over ? 0.0
                     : std::max(0.0, headroom_without_filling - settings_.sharing.min_headroom),
             is_over && headroom < settings_.recovered_headroom &&
                 now >= over.at(run.run) + settings_.max_time_over_target});
    }
    over_target_since_ = std::move(over);
    undisturbed_since_ = std::move(undisturbed);
    ignored_until_ = std::move(ignored);
    return tasks;
}

std::map<std::string, std::uint32_t>
latency_guard::choose_percents(const std::vector<guarded_run>& runs, std::int64_t capacity,
                               std::vector<protected_task> tasks) const {
    const double vm_millicores = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    const double available_millicores =
        fillable_millicores(settings_.sharing, capacity, model_.serving_used_millicores(runs),
                            sum_of(runs, false, false));
    const double wanted = static_cast<double>(std::max<std::int64_t>(sum_of(runs, true, false), 1));
    const double fair_share = tasks.empty() ? 1.0 : std::min(1.0, available_millicores / wanted);
    std::map<std::string, double> usage;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu) {
            usage[run.image] +=
                static_cast<double>(run.cpu_millicores) * fair_share / vm_millicores;
        }
    }
    const auto loss_of = [&](const protected_task& task, const std::string& image) {
        return model_.slope(task.image, image) * usage[image];
    };
    std::vector<std::pair<double, std::string>> images_by_pressure;
    for (const auto& [image, share] : usage) {
        double pressure = 0;
        for (const protected_task& task : tasks) {
            // 0.1 avoids a division by zero when no headroom may be taken.
            pressure = std::max(pressure, model_.slope(task.image, image) / (task.budget + 0.1));
        }
        images_by_pressure.emplace_back(pressure, image);
    }
    std::sort(images_by_pressure.begin(), images_by_pressure.end());
    std::map<std::string, std::uint32_t> percents;
    for (const auto& [pressure, image] : images_by_pressure) {
        double share = 1.0;
        for (const protected_task& task : tasks) {
            const double loss = loss_of(task, image);
            if (task.over_target_too_long) {
                share = 0;
            } else if (loss > std::max(task.budget, settings_.negligible_loss)) {
                const double min_share =
                    model_.slope(task.image, image) < settings_.light_image_slope
                        ? settings_.min_light_percent / 100.0
                        : 0.0;
                share = std::min(share, std::max(min_share, task.budget / loss));
            }
        }
        percents[image] = to_percent(share * fair_share);
        for (protected_task& task : tasks) {
            task.budget = std::max(0.0, task.budget - share * loss_of(task, image));
        }
    }
    return percents;
}

double latency_guard::current_headroom_loss(const std::string& serving_image,
                                            const std::vector<guarded_run>& runs,
                                            std::int64_t capacity) const {
    double loss = 0;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu) {
            loss += model_.slope(serving_image, run.image) *
                    static_cast<double>(run.used_millicores) /
                    static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
    }
    return loss;
}

} // namespace egretstile
