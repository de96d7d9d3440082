#include <egretstile/core/interference/interference_model.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace egretstile {
namespace {

/// Below this share of the VM's processor time tasks do not slow the service down measurably.
constexpr double max_undisturbed_share = 0.03;
/// Smaller changes of a share are noise of the usage measurement.
constexpr double same_mix_tolerance = 0.1;
/// The weight of a new sample in an average is one over the number of samples, but at least this.
constexpr double min_weight = 0.05;
/// Larger measured slowdowns count as this, so that one stalled sample does not dominate.
constexpr double max_slowdown = 8.0;
/// Largest change of a coefficient by one sample.
constexpr double max_coefficient_step = 0.5;
constexpr double max_coefficient = 20.0;
/// Largest change of the undisturbed latency by one sample, as a share of the latency.
constexpr double max_undisturbed_step = 0.05;
/// Kinds of tasks with a smaller share are skipped: their effect is too small to be measured.
constexpr double min_learned_share = 0.01;
/// Avoids a division by zero for a VM without a reported capacity.
constexpr double min_capacity_millicores = 1.0;

double total(const kind_shares& shares) {
    return std::accumulate(shares.begin(), shares.end(), 0.0);
}

double sample_weight(std::uint32_t count) {
    return std::max(min_weight, 1.0 / (count + 1.0));
}

} // namespace

kind_shares cpu_shares_by_kind(const vm_view& vm) {
    kind_shares shares{};
    const double cores =
        std::max(min_capacity_millicores, static_cast<double>(vm.capacity.cpu_millicores));
    for (const placed_run& run : vm.runs) {
        const std::int64_t used =
            run.used.cpu_millicores > 0 ? run.used.cpu_millicores : run.need.cpu_millicores;
        shares.at(static_cast<std::size_t>(run.kind)) += static_cast<double>(used) / cores;
    }
    return shares;
}

double upstream_load(const vm_view& vm) {
    if (vm.slots == 0) {
        return 0;
    }
    return std::min(1.0, static_cast<double>(vm.slots_in_use) / static_cast<double>(vm.slots));
}

void interference_model::observe(const vm_view& vm, boot_time now) {
    const kind_shares shares = cpu_shares_by_kind(vm);
    if (!is_settled(vm, shares, now) || vm.service.empty() || vm.latency_us == 0) {
        return;
    }
    const std::size_t level = level_of(upstream_load(vm));
    service_state& service = services_[vm.service];
    const double latency_us = vm.latency_us;
    if (total(shares) < max_undisturbed_share) {
        learn_undisturbed_latency(service.at(level).undisturbed, latency_us);
        return;
    }
    const double estimate = latency_us / slowdown_of(service, level, shares);
    average& inferred = service.at(level).inferred;
    // Only a lower latency than assumed contains information about the undisturbed latency: a
    // higher one may be caused by the tasks.
    if (inferred.count == 0 || estimate < inferred.value) {
        learn_undisturbed_latency(inferred, estimate);
    }
    learn_coefficients(service, level, latency_us / undisturbed_of(service, level), shares);
}

double interference_model::slowdown(const std::string& service, double load,
                                    const kind_shares& shares) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 1.0 + default_coefficient * total(shares);
    }
    return slowdown_of(found->second, level_of(load), shares);
}

double interference_model::coefficient(const std::string& service, task_kind kind,
                                       double load) const {
    const auto found = services_.find(service);
    return found == services_.end()
               ? default_coefficient
               : coefficient_of(found->second, static_cast<std::size_t>(kind), level_of(load));
}

std::uint32_t interference_model::sample_count(const std::string& service, task_kind kind,
                                               double load) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0
                                    : found->second.at(level_of(load))
                                          .coefficients.at(static_cast<std::size_t>(kind))
                                          .count;
}

double interference_model::undisturbed_latency_us(const std::string& service, double load) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : undisturbed_of(found->second, level_of(load));
}

std::size_t interference_model::level_of(double load) {
    const auto level = static_cast<std::size_t>(std::max(0.0, load) * load_levels);
    return std::min(level, load_levels - 1);
}

double interference_model::coefficient_of(const service_state& service, std::size_t kind,
                                          std::size_t level) {
    // Uses the nearest level with samples. At equal distance the level with the higher load is
    // preferred, because overestimating the slowdown protects the service.
    for (std::size_t distance = 0; distance < load_levels; ++distance) {
        if (level + distance < load_levels &&
            service.at(level + distance).coefficients.at(kind).count > 0) {
            return service.at(level + distance).coefficients.at(kind).value;
        }
        if (level >= distance && service.at(level - distance).coefficients.at(kind).count > 0) {
            return service.at(level - distance).coefficients.at(kind).value;
        }
    }
    return default_coefficient;
}

double interference_model::nearest(const service_state& service, average level_state::*member,
                                   std::size_t level) {
    for (std::size_t distance = 0; distance < load_levels; ++distance) {
        if (level >= distance && (service.at(level - distance).*member).count > 0) {
            return (service.at(level - distance).*member).value;
        }
        if (level + distance < load_levels && (service.at(level + distance).*member).count > 0) {
            return (service.at(level + distance).*member).value;
        }
    }
    return 0;
}

double interference_model::undisturbed_of(const service_state& service, std::size_t level) {
    const double measured = nearest(service, &level_state::undisturbed, level);
    return measured > 0 ? measured : nearest(service, &level_state::inferred, level);
}

double interference_model::slowdown_of(const service_state& service, std::size_t level,
                                       const kind_shares& shares) {
    double slowdown = 1.0;
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        if (shares.at(kind) > 0) {
            slowdown += shares.at(kind) * coefficient_of(service, kind, level);
        }
    }
    return slowdown;
}

bool interference_model::is_settled(const vm_view& vm, const kind_shares& shares, boot_time now) {
    const auto [position, added] = vms_.try_emplace(vm.vm);
    vm_state& state = position->second;
    bool unchanged = !added && state.service == vm.service;
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        unchanged =
            unchanged && std::abs(shares.at(kind) - state.shares.at(kind)) < same_mix_tolerance;
    }
    if (!unchanged) {
        state = {shares, vm.service, now};
        return false;
    }
    return now - state.settled_since >= settle_time;
}

void interference_model::learn_undisturbed_latency(average& undisturbed, double estimate) {
    if (undisturbed.count == 0) {
        undisturbed = {estimate, 1};
        return;
    }
    const double limit = max_undisturbed_step * undisturbed.value;
    const double step = sample_weight(undisturbed.count) * (estimate - undisturbed.value);
    undisturbed.value += std::clamp(step, -limit, limit);
    ++undisturbed.count;
}

void interference_model::learn_coefficients(service_state& service, std::size_t level,
                                            double measured, const kind_shares& shares) {
    const double error = std::min(measured, max_slowdown) - slowdown_of(service, level, shares);
    // Distributes the error over the kinds in proportion to their shares (normalised least mean
    // squares), so that samples with different mixes separate the coefficients over time.
    double norm = 0;
    for (const double share : shares) {
        norm += share * share;
    }
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        if (shares.at(kind) < min_learned_share) {
            continue;
        }
        average& coefficient = service.at(level).coefficients.at(kind);
        if (coefficient.count == 0) {
            coefficient.value = coefficient_of(service, kind, level);
        }
        const double step = sample_weight(coefficient.count) * error * shares.at(kind) / norm;
        coefficient.value = std::clamp(
            coefficient.value + std::clamp(step, -max_coefficient_step, max_coefficient_step), 0.0,
            max_coefficient);
        ++coefficient.count;
    }
}

} // namespace egretstile
