#include <egretstile/core/interference/interference_model.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace egretstile {
namespace {

/// Up to this share of the processors tasks do not disturb the service measurably.
constexpr double alone_share = 0.03;
/// Changes of the shares below this are noise of the usage measurement.
constexpr double same_mix_tolerance = 0.1;
/// Averages weigh a new sample with one over the number of samples, and at least with this.
constexpr double least_weight = 0.05;
/// A measured slowdown above this is taken as this: one stalled sample must not dominate.
constexpr double most_slowdown = 8.0;
/// Most that one sample moves a coefficient.
constexpr double most_step = 0.5;
constexpr double most_coefficient = 20.0;
/// Most that one sample moves the undisturbed answer time, as a share of it.
constexpr double most_undisturbed_step = 0.05;
/// Tasks of one kind below this share say too little about their coefficient.
constexpr double least_share = 0.01;
/// Avoids a division by zero for a VM without a reported capacity.
constexpr double least_millicores = 1.0;

double total(const kind_shares& shares) {
    return std::accumulate(shares.begin(), shares.end(), 0.0);
}

double weight_of(std::uint32_t count) {
    return std::max(least_weight, 1.0 / (count + 1.0));
}

} // namespace

kind_shares shares_of(const vm_view& vm) {
    kind_shares shares{};
    const double cores =
        std::max(least_millicores, static_cast<double>(vm.capacity.cpu_millicores));
    for (const placed_run& run : vm.runs) {
        const std::int64_t used =
            run.used.cpu_millicores > 0 ? run.used.cpu_millicores : run.need.cpu_millicores;
        shares.at(static_cast<std::size_t>(run.kind)) += static_cast<double>(used) / cores;
    }
    return shares;
}

double load_of(const vm_view& vm) {
    if (vm.slots == 0) {
        return 0;
    }
    return std::min(1.0, static_cast<double>(vm.slots_in_use) / static_cast<double>(vm.slots));
}

void interference_model::observe(const vm_view& vm, boot_time now) {
    const kind_shares shares = shares_of(vm);
    if (!is_settled(vm, shares, now) || vm.service.empty() || vm.latency_us == 0) {
        return;
    }
    const std::size_t level = level_of(load_of(vm));
    service_state& service = services_[vm.service];
    const double latency_us = vm.latency_us;
    if (total(shares) < alone_share) {
        learn_undisturbed(service.at(level).undisturbed, latency_us);
        return;
    }
    const double estimate = latency_us / slowdown_of(service, level, shares);
    average& inferred = service.at(level).inferred;
    // Only a faster answer than assumed tells something about the undisturbed time.
    if (inferred.count == 0 || estimate < inferred.value) {
        learn_undisturbed(inferred, estimate);
    }
    learn_coefficients(service, level, latency_us / undisturbed_of(service, level), shares);
}

double interference_model::slowdown(const std::string& service, double load,
                                    const kind_shares& shares) const {
    const auto known = services_.find(service);
    if (known == services_.end()) {
        return 1.0 + unknown_coefficient * total(shares);
    }
    return slowdown_of(known->second, level_of(load), shares);
}

double interference_model::coefficient(const std::string& service, task_kind kind,
                                       double load) const {
    const auto known = services_.find(service);
    return known == services_.end()
               ? unknown_coefficient
               : coefficient_of(known->second, static_cast<std::size_t>(kind), level_of(load));
}

std::uint32_t interference_model::samples(const std::string& service, task_kind kind,
                                          double load) const {
    const auto known = services_.find(service);
    return known == services_.end() ? 0
                                    : known->second.at(level_of(load))
                                          .coefficients.at(static_cast<std::size_t>(kind))
                                          .count;
}

double interference_model::undisturbed_us(const std::string& service, double load) const {
    const auto known = services_.find(service);
    return known == services_.end() ? 0 : undisturbed_of(known->second, level_of(load));
}

std::size_t interference_model::level_of(double load) {
    const auto level = static_cast<std::size_t>(std::max(0.0, load) * load_levels);
    return std::min(level, load_levels - 1);
}

double interference_model::coefficient_of(const service_state& service, std::size_t kind,
                                          std::size_t level) {
    // The nearest level with samples; at the same distance the higher load, which errs to the
    // service's side.
    for (std::size_t distance = 0; distance < load_levels; ++distance) {
        if (level + distance < load_levels &&
            service.at(level + distance).coefficients.at(kind).count > 0) {
            return service.at(level + distance).coefficients.at(kind).value;
        }
        if (level >= distance && service.at(level - distance).coefficients.at(kind).count > 0) {
            return service.at(level - distance).coefficients.at(kind).value;
        }
    }
    return unknown_coefficient;
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
    bool same = !added && state.service == vm.service;
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        same = same && std::abs(shares.at(kind) - state.shares.at(kind)) < same_mix_tolerance;
    }
    if (!same) {
        state = {shares, vm.service, now};
        return false;
    }
    return now - state.settled_since >= settle_time;
}

void interference_model::learn_undisturbed(average& undisturbed, double estimate) {
    if (undisturbed.count == 0) {
        undisturbed = {estimate, 1};
        return;
    }
    const double limit = most_undisturbed_step * undisturbed.value;
    const double step = weight_of(undisturbed.count) * (estimate - undisturbed.value);
    undisturbed.value += std::clamp(step, -limit, limit);
    ++undisturbed.count;
}

void interference_model::learn_coefficients(service_state& service, std::size_t level,
                                            double measured, const kind_shares& shares) {
    const double error = std::min(measured, most_slowdown) - slowdown_of(service, level, shares);
    // Splits the error over the kinds present in proportion to their shares (normalised least mean
    // squares), so that mixes of kinds separate over time.
    double norm = 0;
    for (const double share : shares) {
        norm += share * share;
    }
    for (std::size_t kind = 0; kind < shares.size(); ++kind) {
        if (shares.at(kind) < least_share) {
            continue;
        }
        average& coefficient = service.at(level).coefficients.at(kind);
        if (coefficient.count == 0) {
            coefficient.value = coefficient_of(service, kind, level);
        }
        const double step = weight_of(coefficient.count) * error * shares.at(kind) / norm;
        coefficient.value = std::clamp(coefficient.value + std::clamp(step, -most_step, most_step),
                                       0.0, most_coefficient);
        ++coefficient.count;
    }
}

} // namespace egretstile
