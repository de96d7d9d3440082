#include <egretstile/core/interference/interference_controller.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace egretstile {
namespace {

/// Limits of a run's processor time in percent, from no limit to the lowest one.
constexpr std::array<std::uint32_t, 4> throttle_steps{100, 60, 35, 15};
constexpr std::size_t last_step = throttle_steps.size() - 1;

/// Tolerated slowdown in excess of 1, at tail weight 1 and at tail weight 0.
constexpr double min_tolerated_excess = 0.10;
constexpr double max_tolerated_excess = 0.60;
/// The relax threshold is at this share of the tolerated excess. Between the thresholds nothing
/// changes.
constexpr double hysteresis_share = 0.5;
/// An eviction costs a restart of the task, so it requires this multiple of the tolerated excess at
/// tail weight 1, and inversely proportionally more at lower weights.
constexpr double eviction_excess_factor = 2.0;
/// Smaller tail weights count as this for evictions, which avoids a division by zero.
constexpr double min_eviction_weight = 0.05;

} // namespace

interference_controller::interference_controller(const interference_settings& settings)
    : settings_(settings) {}

double interference_controller::throttle_threshold() const {
    const double weight = std::clamp(settings_.tail_weight, 0.0, 1.0);
    return 1.0 + weight * min_tolerated_excess + (1.0 - weight) * max_tolerated_excess;
}

double interference_controller::relax_threshold() const {
    return 1.0 + hysteresis_share * (throttle_threshold() - 1.0);
}

std::vector<interference_action> interference_controller::decide(const vm_view& vm,
                                                                 const interference_model& model,
                                                                 const run_filter& is_owned,
                                                                 boot_time now) {
    actions out;
    vm_state& state = vms_[vm.vm];
    remove_ended_runs(state, vm);
    if (!vm.service.empty() && !update_slowdown(state, vm, model)) {
        resend_throttles(state, is_owned, now, out);
        return out;
    }
    if (vm.service.empty()) {
        state.slowdown = 1.0;
    }
    const bool may_change = now - state.last_change_at >= settings_.min_change_interval;
    if (state.slowdown > throttle_threshold()) {
        state.below_threshold_since.reset();
        if (may_change) {
            throttle_further(state, vm, model, is_owned, now, out);
        }
    } else {
        state.fully_throttled_since.reset();
        if (state.slowdown < relax_threshold()) {
            state.below_threshold_since = state.below_threshold_since.value_or(now);
            if (may_change && now - *state.below_threshold_since >= settings_.relax_after) {
                relax(state, now, out);
            }
        } else {
            state.below_threshold_since.reset();
        }
    }
    resend_throttles(state, is_owned, now, out);
    return out;
}

void interference_controller::remove_ended_runs(vm_state& state, const vm_view& vm) {
    for (auto throttle = state.throttles.begin(); throttle != state.throttles.end();) {
        const bool present =
            std::any_of(vm.runs.begin(), vm.runs.end(),
                        [&](const placed_run& run) { return run.run == throttle->first; });
        throttle = present ? std::next(throttle) : state.throttles.erase(throttle);
    }
}

bool interference_controller::update_slowdown(vm_state& state, const vm_view& vm,
                                              const interference_model& model) {
    const double undisturbed_latency_us =
        model.undisturbed_latency_us(vm.service, upstream_load(vm));
    if (vm.latency_us == 0 || undisturbed_latency_us <= 0) {
        return false;
    }
    state.recent_slowdowns.at(state.next) =
        static_cast<double>(vm.latency_us) / undisturbed_latency_us;
    state.next = (state.next + 1) % state.recent_slowdowns.size();
    std::array<double, 3> sorted = state.recent_slowdowns;
    std::sort(sorted.begin(), sorted.end());
    state.slowdown = sorted.at(1);
    return true;
}

const placed_run* interference_controller::most_disturbing_run(const vm_state& state,
                                                               const vm_view& vm,
                                                               const interference_model& model,
                                                               const run_filter& is_owned,
                                                               bool fully_throttled) {
    const double load = upstream_load(vm);
    const placed_run* worst = nullptr;
    double max_impact = 0;
    for (const placed_run& run : vm.runs) {
        const auto throttle = state.throttles.find(run.run);
        const bool full = throttle != state.throttles.end() && throttle->second.step == last_step;
        if (full != fully_throttled || !is_owned(run.run)) {
            continue;
        }
        const std::int64_t cpu =
            run.used.cpu_millicores > 0 ? run.used.cpu_millicores : run.need.cpu_millicores;
        const double impact =
            model.coefficient(vm.service, run.kind, load) * static_cast<double>(cpu);
        if (worst == nullptr || impact > max_impact) {
            worst = &run;
            max_impact = impact;
        }
    }
    return worst;
}

void interference_controller::throttle_further(vm_state& state, const vm_view& vm,
                                               const interference_model& model,
                                               const run_filter& is_owned, boot_time now,
                                               actions& out) const {
    const placed_run* const worst = most_disturbing_run(state, vm, model, is_owned, false);
    if (worst == nullptr) {
        evict(state, vm, model, is_owned, now, out);
        return;
    }
    state.fully_throttled_since.reset();
    throttle_state& throttle = state.throttles[worst->run];
    ++throttle.step;
    throttle.sent_at = now;
    state.last_change_at = now;
    out.emplace_back(throttle_run{worst->run, throttle_steps.at(throttle.step)});
}

void interference_controller::evict(vm_state& state, const vm_view& vm,
                                    const interference_model& model, const run_filter& is_owned,
                                    boot_time now, actions& out) const {
    state.fully_throttled_since = state.fully_throttled_since.value_or(now);
    const double weight = std::max(min_eviction_weight, settings_.tail_weight);
    const double limit = 1.0 + (throttle_threshold() - 1.0) * eviction_excess_factor / weight;
    const bool due = now - *state.fully_throttled_since >= settings_.evict_after &&
                     (!state.last_eviction_at ||
                      now - *state.last_eviction_at >= settings_.min_eviction_interval);
    const placed_run* const worst = most_disturbing_run(state, vm, model, is_owned, true);
    if (!due || worst == nullptr || state.slowdown <= limit) {
        return;
    }
    state.throttles.erase(worst->run);
    state.last_eviction_at = now;
    state.last_change_at = now;
    out.emplace_back(evict_run{worst->run});
}

void interference_controller::relax(vm_state& state, boot_time now, actions& out) const {
    const auto tightest = std::max_element(
        state.throttles.begin(), state.throttles.end(),
        [](const auto& left, const auto& right) { return left.second.step < right.second.step; });
    if (tightest == state.throttles.end() || tightest->second.step == 0) {
        return;
    }
    --tightest->second.step;
    tightest->second.sent_at = now;
    state.last_change_at = now;
    // The next step waits for another full `relax_after`.
    state.below_threshold_since = now;
    out.emplace_back(throttle_run{tightest->first, throttle_steps.at(tightest->second.step)});
    // A removed limit stays in `throttles` until `resend_throttles` has sent it once more.
}

void interference_controller::resend_throttles(vm_state& state, const run_filter& is_owned,
                                               boot_time now, actions& out) const {
    for (auto position = state.throttles.begin(); position != state.throttles.end();) {
        auto& [run, throttle] = *position;
        const bool due = now - throttle.sent_at >= settings_.resend_interval;
        const bool removed = throttle.step == 0;
        if (due && is_owned(run)) {
            throttle.sent_at = now;
            out.emplace_back(throttle_run{run, throttle_steps.at(throttle.step)});
        }
        position = (due && removed) || !is_owned(run) ? state.throttles.erase(position)
                                                      : std::next(position);
    }
}

} // namespace egretstile
