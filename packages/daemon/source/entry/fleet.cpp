#include "entry/fleet.hpp"

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

/// A VM that has sent no heartbeat for this long gets no new tasks.
constexpr milliseconds heartbeat_timeout{2000};
/// A VM that has sent no heartbeat for this long is removed.
constexpr milliseconds removal_timeout{60000};
/// An assignment that the agent has not reported after this time was refused or lost.
constexpr milliseconds assignment_timeout{3000};
/// A VM whose agent refused a start gets no new tasks for this long.
constexpr milliseconds refusal_backoff{500};

placed_run to_placed(const wire::run_usage& usage) {
    return {usage.run, usage.team, usage.kind, usage.need, usage.used};
}

} // namespace

bool in_service(const plan& current, const failure_domain_name& domain) {
    for (const domain_plan& row : current.domains) {
        if (row.name == domain) {
            return row.state == domain_state::in_service;
        }
    }
    return true;
}

bool is_drained(const plan& current, const vm_name& vm) {
    return std::any_of(current.drained.begin(), current.drained.end(),
                       [&vm](const drained_vm& row) { return row.name == vm; });
}

fleet_vm* fleet::apply_heartbeat(const wire::heartbeat& heartbeat, frame_connection& connection,
                                 const plan& current, boot_time now) {
    fleet_vm& vm = vms_[heartbeat.vm];
    if (heartbeat.incarnation < vm.view.incarnation &&
        heartbeat.worker_boot == vm.view.worker_boot) {
        return nullptr;
    }
    vm.connection = connection.weak_from_this();
    vm.last_heartbeat = now;
    vm.plan_revision = heartbeat.plan_revision;
    vm.draining = heartbeat.draining;
    vm.worker_known = heartbeat.worker_known;
    vm.upstream = heartbeat.upstream.state;
    vm_view& view = vm.view;
    view.vm = heartbeat.vm;
    view.incarnation = heartbeat.incarnation;
    view.worker_boot = heartbeat.worker_boot;
    view.failure_domain = heartbeat.failure_domain;
    view.rack = heartbeat.rack;
    view.capacity = heartbeat.capacity;
    view.reserved = heartbeat.reserved;
    view.accepts_tasks = heartbeat.worker_known && !heartbeat.draining &&
                         in_service(current, heartbeat.failure_domain) &&
                         !is_drained(current, heartbeat.vm);
    view.service = heartbeat.upstream.service;
    view.slots = heartbeat.upstream.slots;
    view.slots_in_use = heartbeat.upstream.slots_in_use;
    view.latency_us = heartbeat.upstream.latency_us;
    view.runs.clear();
    std::transform(heartbeat.usage.begin(), heartbeat.usage.end(), std::back_inserter(view.runs),
                   to_placed);
    remove_finished_assignments(heartbeat.vm, heartbeat, now);
    return &vm;
}

bool fleet::replaces_connection(const vm_name& vm, const frame_connection& connection) const {
    const auto found = vms_.find(vm);
    return found != vms_.end() && found->second.connection.lock().get() != &connection;
}

std::vector<vm_name> fleet::remove_connection(const frame_connection& connection) {
    std::vector<vm_name> lost;
    for (auto& [name, vm] : vms_) {
        if (vm.connection.lock().get() == &connection) {
            vm.connection.reset();
            lost.push_back(name);
        }
    }
    return lost;
}

std::vector<vm_name> fleet::remove_silent(boot_time now) {
    std::vector<vm_name> removed;
    for (auto vm = vms_.begin(); vm != vms_.end();) {
        if (now - vm->second.last_heartbeat > removal_timeout) {
            removed.push_back(vm->first);
            assignments_.erase(vm->first);
            vm = vms_.erase(vm);
        } else {
            ++vm;
        }
    }
    return removed;
}

fleet_vm* fleet::find(const vm_name& vm) {
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

std::vector<vm_view> fleet::placement_views(boot_time now, const plan& current) const {
    std::vector<vm_view> views;
    views.reserve(vms_.size());
    for (const auto& [name, vm] : vms_) {
        vm_view view = vm.view;
        view.accepts_tasks = view.accepts_tasks && now - vm.last_heartbeat < heartbeat_timeout &&
                             now >= vm.backoff_until && !vm.connection.expired() &&
                             in_service(current, view.failure_domain);
        const auto pending = assignments_.find(name);
        if (pending != assignments_.end()) {
            for (const assignment& assigned : pending->second) {
                view.reserved = view.reserved + assigned.run.need;
                view.runs.push_back(assigned.run);
            }
        }
        views.push_back(std::move(view));
    }
    return views;
}

void fleet::record_assignment(const vm_name& vm, const placed_run& run, boot_time now) {
    assignments_[vm].push_back({run, now});
}

void fleet::record_refusal(const vm_name& vm, boot_time now) {
    if (fleet_vm* const found_vm = find(vm)) {
        found_vm->backoff_until = now + refusal_backoff;
    }
}

bool fleet::send(const vm_name& vm, const wire::message& message) {
    const fleet_vm* const found_vm = find(vm);
    if (found_vm == nullptr) {
        return false;
    }
    const std::shared_ptr<frame_connection> connection = found_vm->connection.lock();
    return connection != nullptr && connection->send(message);
}

void fleet::remove_finished_assignments(const vm_name& vm, const wire::heartbeat& heartbeat,
                                        boot_time now) {
    const auto found = assignments_.find(vm);
    if (found == assignments_.end()) {
        return;
    }
    std::vector<assignment>& assignments = found->second;
    const auto is_reported_or_expired = [&heartbeat, now](const assignment& candidate) {
        const bool reported = std::any_of(
            heartbeat.runs.begin(), heartbeat.runs.end(),
            [&candidate](const run_report& report) { return report.run == candidate.run.run; });
        return reported || now - candidate.assigned_at > assignment_timeout;
    };
    assignments.erase(
        std::remove_if(assignments.begin(), assignments.end(), is_reported_or_expired),
        assignments.end());
    if (assignments.empty()) {
        assignments_.erase(found);
    }
}

} // namespace egretstile::daemon
