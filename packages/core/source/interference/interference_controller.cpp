#include <egretstile/core/interference/interference_controller.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace egretstile {
namespace {

/// Processor shares of a run, from no limit to the lowest one.
constexpr std::array<std::uint32_t, 4> throttle_steps{100, 60, 35, 15};
constexpr std::size_t last_step = throttle_steps.size() - 1;

/// Tolerated slowdown at tail weights 1 and 0.
constexpr double strict_excess = 0.10;
constexpr double lenient_excess = 0.60;
/// Width of the band in which nothing changes, as a share of the tolerated excess.
constexpr double relax_share = 0.5;
/// An eviction costs a restart, so it takes this multiple of the excess at tail weight 1, and
/// proportionally more below it.
constexpr double eviction_excess = 2.0;
constexpr double least_eviction_weight = 0.05;

} // namespace

interference_controller::interference_controller(const interference_settings& settings)
    : settings_(settings) {}

double interference_controller::upper_limit() const {
    const double weight = std::clamp(settings_.tail_weight, 0.0, 1.0);
    return 1.0 + weight * strict_excess + (1.0 - weight) * lenient_excess;
}

double interference_controller::lower_limit() const {
    return 1.0 + relax_share * (upper_limit() - 1.0);
}

std::vector<interference_action> interference_controller::decide(const vm_view& vm,
                                                                 const interference_model& model,
                                                                 const run_filter& owned,
                                                                 boot_time now) {
    actions out;
    vm_state& state = vms_[vm.vm];
    drop_ended(state, vm);
    if (!vm.service.empty() && !measure(state, vm, model)) {
        repeat(state, owned, now, out);
        return out;
    }
    if (vm.service.empty()) {
        state.slowdown = 1.0;
    }
    const bool may_change = now - state.changed_at >= settings_.dwell;
    if (state.slowdown > upper_limit()) {
        state.calm_since.reset();
        if (may_change) {
            tighten(state, vm, model, owned, now, out);
        }
    } else {
        state.exhausted_since.reset();
        if (state.slowdown < lower_limit()) {
            state.calm_since = state.calm_since.value_or(now);
            if (may_change && now - *state.calm_since >= settings_.restore_after) {
                relax(state, now, out);
            }
        } else {
            state.calm_since.reset();
        }
    }
    repeat(state, owned, now, out);
    return out;
}

void interference_controller::drop_ended(vm_state& state, const vm_view& vm) {
    for (auto throttle = state.throttles.begin(); throttle != state.throttles.end();) {
        const bool present =
            std::any_of(vm.runs.begin(), vm.runs.end(),
                        [&](const placed_run& run) { return run.run == throttle->first; });
        throttle = present ? std::next(throttle) : state.throttles.erase(throttle);
    }
}

bool interference_controller::measure(vm_state& state, const vm_view& vm,
                                      const interference_model& model) {
    const double undisturbed_us = model.undisturbed_us(vm.service, load_of(vm));
    if (vm.latency_us == 0 || undisturbed_us <= 0) {
        return false;
    }
    state.recent.at(state.next) = static_cast<double>(vm.latency_us) / undisturbed_us;
    state.next = (state.next + 1) % state.recent.size();
    std::array<double, 3> sorted = state.recent;
    std::sort(sorted.begin(), sorted.end());
    state.slowdown = sorted.at(1);
    return true;
}

const placed_run* interference_controller::most_disturbing(const vm_state& state, const vm_view& vm,
                                                           const interference_model& model,
                                                           const run_filter& owned,
                                                           bool throttled_fully) {
    const double load = load_of(vm);
    const placed_run* worst = nullptr;
    double worst_harm = 0;
    for (const placed_run& run : vm.runs) {
        const auto throttle = state.throttles.find(run.run);
        const bool full = throttle != state.throttles.end() && throttle->second.step == last_step;
        if (full != throttled_fully || !owned(run.run)) {
            continue;
        }
        const std::int64_t cpu =
            run.used.cpu_millicores > 0 ? run.used.cpu_millicores : run.need.cpu_millicores;
        const double harm =
            model.coefficient(vm.service, run.kind, load) * static_cast<double>(cpu);
        if (worst == nullptr || harm > worst_harm) {
            worst = &run;
            worst_harm = harm;
        }
    }
    return worst;
}

void interference_controller::tighten(vm_state& state, const vm_view& vm,
                                      const interference_model& model, const run_filter& owned,
                                      boot_time now, actions& out) const {
    const placed_run* const worst = most_disturbing(state, vm, model, owned, false);
    if (worst == nullptr) {
        evict(state, vm, model, owned, now, out);
        return;
    }
    state.exhausted_since.reset();
    throttle_state& throttle = state.throttles[worst->run];
    ++throttle.step;
    throttle.sent_at = now;
    state.changed_at = now;
    out.emplace_back(throttle_run{worst->run, throttle_steps.at(throttle.step)});
}

void interference_controller::evict(vm_state& state, const vm_view& vm,
                                    const interference_model& model, const run_filter& owned,
                                    boot_time now, actions& out) const {
    state.exhausted_since = state.exhausted_since.value_or(now);
    const double weight = std::max(least_eviction_weight, settings_.tail_weight);
    const double limit = 1.0 + (upper_limit() - 1.0) * eviction_excess / weight;
    const bool due = now - *state.exhausted_since >= settings_.evict_after &&
                     (!state.evicted_at || now - *state.evicted_at >= settings_.eviction_interval);
    const placed_run* const worst = most_disturbing(state, vm, model, owned, true);
    if (!due || worst == nullptr || state.slowdown <= limit) {
        return;
    }
    state.throttles.erase(worst->run);
    state.evicted_at = now;
    state.changed_at = now;
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
    state.changed_at = now;
    // The next step waits for a calm time of its own.
    state.calm_since = now;
    out.emplace_back(throttle_run{tightest->first, throttle_steps.at(tightest->second.step)});
    // A removed limit stays listed until it was repeated once; see `repeat`.
}

void interference_controller::repeat(vm_state& state, const run_filter& owned, boot_time now,
                                     actions& out) const {
    for (auto position = state.throttles.begin(); position != state.throttles.end();) {
        auto& [run, throttle] = *position;
        const bool due = now - throttle.sent_at >= settings_.repeat_after;
        const bool removed = throttle.step == 0;
        if (due && owned(run)) {
            throttle.sent_at = now;
            out.emplace_back(throttle_run{run, throttle_steps.at(throttle.step)});
        }
        position =
            (due && removed) || !owned(run) ? state.throttles.erase(position) : std::next(position);
    }
}

} // namespace egretstile
