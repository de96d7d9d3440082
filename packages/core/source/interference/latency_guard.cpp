#include <egretstile/core/interference/latency_guard.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace egretstile {

namespace {

constexpr std::uint32_t full_speed = 100;
/// Speeds are changed in steps of this, because each change is a call to the runner.
constexpr std::uint32_t percent_step = 5;
/// A rise by less waits.
constexpr std::uint32_t smallest_rise = 10;

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
    const double steps = std::clamp(share, 0.0, 1.0) * full_speed / percent_step;
    return static_cast<std::uint32_t>(std::floor(steps)) * percent_step;
}

bool worth_a_call(std::uint32_t present, std::uint32_t wanted) {
    return wanted < present || wanted >= present + smallest_rise ||
           (wanted == full_speed && present != full_speed);
}

} // namespace

double fillable_millicores(const sharing_model& model, std::int64_t capacity, double serving_use,
                           std::int64_t others) {
    // Without serving tasks nothing is harmed by a full VM.
    const double share = serving_use > 0 ? model.full_use : 1.0;
    return std::max(0.0, static_cast<double>(capacity) * share - static_cast<double>(others) -
                             serving_use);
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
        choose_percents(runs, capacity, find_protected(runs, capacity, now));
    std::vector<speed_change> changes;
    std::map<task_attempt, std::uint32_t> applied;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu) {
            continue;
        }
        const std::uint32_t percent = percents.at(run.image);
        const auto known = applied_.find(run.run);
        const std::uint32_t present = known == applied_.end() ? full_speed : known->second;
        const bool changes_now = worth_a_call(present, percent);
        if (changes_now) {
            changes.push_back({run.run, percent});
        }
        applied[run.run] = changes_now ? percent : present;
    }
    applied_ = std::move(applied);
    return changes;
}

std::vector<latency_guard::protected_task>
latency_guard::find_protected(const std::vector<guarded_run>& runs, std::int64_t capacity,
                              boot_time now) {
    std::vector<protected_task> tasks;
    std::map<task_attempt, boot_time> over;
    std::map<task_attempt, boot_time> undisturbed;
    std::map<task_attempt, boot_time> disregarded;
    least_headroom_ = 0;
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms == 0) {
            continue;
        }
        const double seen = model_.seen_headroom(run.run);
        if (seen > 0 && (least_headroom_ == 0 || seen < least_headroom_)) {
            least_headroom_ = seen;
        }
        const auto over_since = over_since_.find(run.run);
        const bool was_over = over_since != over_since_.end();
        const bool is_over =
            seen > 0 && seen < (was_over ? settings_.pressure.drained_headroom : 1.0);
        if (is_over) {
            over.emplace(run.run, was_over ? over_since->second : now);
            const bool quiet = present_loss(run.image, runs, capacity) < settings_.negligible_loss;
            const auto since = undisturbed_since_.find(run.run);
            if (quiet) {
                undisturbed[run.run] = since == undisturbed_since_.end() ? now : since->second;
            }
            if (quiet && now >= undisturbed[run.run] + settings_.undisturbed) {
                disregarded[run.run] = now + settings_.disregard;
            }
        }
        const auto until = disregarded_until_.find(run.run);
        if (until != disregarded_until_.end() && now < until->second) {
            disregarded.emplace(run.run, until->second);
        }
        if (disregarded.count(run.run) != 0) {
            continue;
        }
        const double alone = model_.own_headroom(run.run, settings_.usual_headroom);
        tasks.push_back({run.image,
                         is_over ? 0.0 : std::max(0.0, alone - settings_.sharing.kept_headroom),
                         is_over && seen < settings_.recovered_headroom &&
                             now >= over.at(run.run) + settings_.longest_over});
    }
    over_since_ = std::move(over);
    undisturbed_since_ = std::move(undisturbed);
    disregarded_until_ = std::move(disregarded);
    return tasks;
}

std::map<std::string, std::uint32_t>
latency_guard::choose_percents(const std::vector<guarded_run>& runs, std::int64_t capacity,
                               std::vector<protected_task> tasks) const {
    const double whole = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    const double room = fillable_millicores(settings_.sharing, capacity, model_.serving_use(runs),
                                            sum_of(runs, false, false));
    const double wanted = static_cast<double>(std::max<std::int64_t>(sum_of(runs, true, false), 1));
    const double fair_share = tasks.empty() ? 1.0 : std::min(1.0, room / wanted);
    std::map<std::string, double> use;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu) {
            use[run.image] += static_cast<double>(run.cpu_millicores) * fair_share / whole;
        }
    }
    const auto loss_of = [&](const protected_task& task, const std::string& image) {
        return model_.slope(task.image, image) * use[image];
    };
    std::vector<std::pair<double, std::string>> order;
    for (const auto& [image, share] : use) {
        double worst = 0;
        for (const protected_task& task : tasks) {
            worst = std::max(worst, model_.slope(task.image, image) / (task.budget + 0.1));
        }
        order.emplace_back(worst, image);
    }
    std::sort(order.begin(), order.end());
    std::map<std::string, std::uint32_t> percents;
    for (const auto& [worst, image] : order) {
        double share = 1.0;
        for (const protected_task& task : tasks) {
            const double loss = loss_of(task, image);
            if (task.harmed) {
                share = 0;
            } else if (loss > std::max(task.budget, settings_.negligible_loss)) {
                const double least = model_.slope(task.image, image) < settings_.light_slope
                                         ? settings_.least_light_percent / 100.0
                                         : 0.0;
                share = std::min(share, std::max(least, task.budget / loss));
            }
        }
        percents[image] = to_percent(share * fair_share);
        for (protected_task& task : tasks) {
            task.budget = std::max(0.0, task.budget - share * loss_of(task, image));
        }
    }
    return percents;
}

double latency_guard::present_loss(const std::string& serving_image,
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
