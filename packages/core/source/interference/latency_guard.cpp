#include <egretstile/core/interference/latency_guard.hpp>

#include <algorithm>
#include <cmath>

namespace egretstile {

namespace {

constexpr std::uint32_t full_speed = 100;
/// Speeds are changed in steps of this, because each change is a call to the runner.
constexpr std::uint32_t percent_step = 5;

double share_of(const guarded_run& run) {
    return static_cast<double>(run.latency_ms) / static_cast<double>(run.target_latency_ms);
}

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

} // namespace

double fillable_millicores(const sharing_model& model, std::int64_t capacity, std::int64_t serving,
                           std::int64_t others) {
    const double whole =
        static_cast<double>(capacity) * (serving > 0 ? model.shared_utilisation : 1.0);
    return std::max(0.0, whole - model.serving_use * static_cast<double>(serving) -
                             static_cast<double>(others));
}

latency_guard::latency_guard(const latency_guard_settings& settings)
    : settings_(settings)
    , alone_(settings.usual_share) {}

std::vector<speed_change> latency_guard::update(const std::vector<guarded_run>& runs,
                                                std::int64_t capacity, boot_time now) {
    if (now >= observed_at_ + settings_.interval) {
        observe(runs, capacity, now);
    }
    const std::map<std::string, std::uint32_t> percents = choose_percents(runs, capacity);
    std::vector<speed_change> changes;
    std::map<task_attempt, std::uint32_t> applied;
    for (const guarded_run& run : runs) {
        if (!run.fills_idle_cpu) {
            continue;
        }
        const std::uint32_t percent = percents.at(run.image);
        const auto known = applied_.find(run.run);
        const std::uint32_t present = known == applied_.end() ? full_speed : known->second;
        if (present != percent) {
            changes.push_back({run.run, percent});
        }
        applied[run.run] = percent;
    }
    applied_ = std::move(applied);
    return changes;
}

void latency_guard::observe(const std::vector<guarded_run>& runs, std::int64_t capacity,
                            boot_time now) {
    observed_at_ = now;
    if (sum_of(runs, false, true) == 0) {
        gain_ = 1.0;
        worst_ = 0;
        stopped_ = false;
        quiet_since_ = boot_time();
        disregarded_until_.clear();
        return;
    }
    const std::map<std::string, double> use = use_of(runs, capacity);
    double total = 0;
    for (const auto& [image, share] : use) {
        total += share;
    }
    const bool quiet = total < 0.01;
    if (!quiet) {
        quiet_since_ = boot_time();
    } else if (quiet_since_ == boot_time()) {
        quiet_since_ = now;
    }
    find_overloaded(runs, now);
    worst_ = worst_share_of(runs, now);
    learn(use);
    correct();
}

/// Compares the rise of the latency with what the images are thought to cause, and corrects each by
/// its part in the use of the VM.
void latency_guard::learn(const std::map<std::string, double>& use) {
    double expected = 0;
    double norm = 0;
    // The latency reflects what was used during the last two observations.
    std::map<std::string, double> mean = use;
    for (auto& [image, share] : mean) {
        const auto before = used_.find(image);
        share = (share + (before == used_.end() ? 0.0 : before->second)) / 2;
        expected += pressure_of(image) * share;
        norm += share * share;
    }
    used_ = use;
    if (norm < 1e-4) {
        if (worst_ > 0 && worst_ < settings_.over) {
            alone_ += (worst_ - alone_) * settings_.learning_rate / 2;
        }
        return;
    }
    const double seen = std::max(0.0, worst_ / std::max(alone_, 0.05) - 1.0);
    for (const auto& [image, share] : mean) {
        const double corrected =
            pressure_of(image) + settings_.learning_rate * (seen - expected) * share / norm;
        pressures_[image] = std::clamp(corrected, 0.2, 200.0);
    }
}

void latency_guard::correct() {
    if (worst_ > settings_.over) {
        stopped_ = true;
        gain_ *= settings_.step_down;
    } else if (worst_ < settings_.near) {
        stopped_ = false;
    }
    if (!stopped_ && worst_ < settings_.clear) {
        gain_ *= settings_.step_up;
    }
    gain_ = std::clamp(gain_, settings_.smallest_gain, settings_.largest_gain);
}

std::map<std::string, std::uint32_t>
latency_guard::choose_percents(const std::vector<guarded_run>& runs, std::int64_t capacity) const {
    std::map<std::string, double> wanted;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu) {
            wanted[run.image] += static_cast<double>(run.cpu_millicores);
        }
    }
    const std::int64_t serving = sum_of(runs, false, true);
    std::map<std::string, std::uint32_t> percents;
    if (serving == 0 || stopped_) {
        for (const auto& [image, millicores] : wanted) {
            percents[image] = serving == 0 ? full_speed : 0;
        }
        return percents;
    }
    std::vector<std::string> order;
    order.reserve(wanted.size());
    for (const auto& [image, millicores] : wanted) {
        order.push_back(image);
    }
    std::sort(order.begin(), order.end(),
              [this](const std::string& left, const std::string& right) {
                  return pressure_of(left) < pressure_of(right);
              });
    const double whole = static_cast<double>(std::max<std::int64_t>(capacity, 1));
    double room = gain_ * fillable_millicores(settings_.sharing, capacity, serving,
                                              sum_of(runs, false, false));
    double budget = gain_ * std::max(0.0, settings_.near / std::max(alone_, 0.05) - 1.0);
    for (const std::string& image : order) {
        const double pressure = pressure_of(image) * wanted[image] / whole;
        const double share = std::min({1.0, room / wanted[image], budget / pressure});
        percents[image] = to_percent(share);
        room -= share * wanted[image];
        budget -= share * pressure;
    }
    return percents;
}

std::map<std::string, double> latency_guard::use_of(const std::vector<guarded_run>& runs,
                                                    std::int64_t capacity) const {
    std::map<std::string, double> use;
    for (const guarded_run& run : runs) {
        if (run.fills_idle_cpu) {
            const auto known = applied_.find(run.run);
            const double percent = known == applied_.end() ? full_speed : known->second;
            use[run.image] += static_cast<double>(run.cpu_millicores) * percent / full_speed /
                              static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
    }
    return use;
}

double latency_guard::pressure_of(const std::string& image) const {
    const auto known = pressures_.find(image);
    return known == pressures_.end() ? settings_.unknown_pressure : known->second;
}

void latency_guard::find_overloaded(const std::vector<guarded_run>& runs, boot_time now) {
    if (quiet_since_ == boot_time() || now < quiet_since_ + settings_.undisturbed) {
        return;
    }
    for (const guarded_run& run : runs) {
        if (run.target_latency_ms > 0 && share_of(run) > settings_.over) {
            disregarded_until_[run.run] = now + settings_.disregard;
        }
    }
}

double latency_guard::worst_share_of(const std::vector<guarded_run>& runs, boot_time now) const {
    double worst = 0;
    for (const guarded_run& run : runs) {
        const auto disregarded = disregarded_until_.find(run.run);
        const bool counts = disregarded == disregarded_until_.end() || now >= disregarded->second;
        if (run.target_latency_ms > 0 && counts) {
            worst = std::max(worst, share_of(run));
        }
    }
    return worst;
}

} // namespace egretstile
