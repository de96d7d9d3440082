#pragma once

#include <egretstile/core/job/task_placer.hpp>

#include <limits>
#include <set>
#include <string>

namespace egretstile {

/// Cost of the VM to the task in units of the whole processor time of a VM; lower is better. Packs
/// serving tasks on few VMs, so that filling tasks can use the others without disturbing them.
/// Precondition: there is no obstacle to placing the task on the VM. Thread-safe.
double separating_cost(const vm_state& vm, const placement_request& request, boot_time now);

/// VM with the lowest cost among the candidates of the request that can take the task, the first of
/// several; null when none can.
template <typename Cost>
vm_state* lowest_cost_vm(const placement_request& request, vm_table& vms,
                         const std::set<failure_domain_name>& closed_domains, Cost cost_of) {
    const std::string& service = request.job->policy.service;
    vm_state* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    const auto consider = [&](vm_state& vm) {
        // Most VMs belong to other services; the comparison here reads the least of their state.
        if (vm.runner.service != service || !may_take(vm, request, closed_domains)) {
            return;
        }
        const double cost = cost_of(vm);
        if (cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    };
    if (request.candidates != nullptr) {
        for (vm_state* const vm : *request.candidates) {
            consider(*vm);
        }
        return best;
    }
    for (auto& [name, vm] : vms) {
        consider(vm);
    }
    return best;
}

} // namespace egretstile
