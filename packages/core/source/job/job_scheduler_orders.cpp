#include <egretstile/core/job/job_scheduler.hpp>
#include <egretstile/core/job/runner_fence.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace egretstile {

void job_scheduler::agent_connected(const vm_name& name, incarnation_number incarnation) {
    agent_process& agent = agent_processes_[name];
    if (agent.number == 0 || agent.incarnation != incarnation) {
        agent.incarnation = incarnation;
        agent.number = std::min(agent.number + 1, max_fenced_agents);
    }
    const auto found = vms_.find(name);
    if (found == vms_.end()) {
        return;
    }
    vm_state& vm = found->second;
    vm.orders_sent = 0;
    vm.last_report = 0;
    // The agent rejects starts that are not based on a report on this connection.
    vm.usable = false;
    for (const auto& [run, needs] : vm.runs) {
        if (tracked_run* const tracked = find_run(run)) {
            tracked->order_number = 0;
            tracked->stop_sent_at = boot_time();
            tracked->attributes_known = false;
        }
    }
    outboxes_.erase(name);
    sent_slopes_.erase(name);
}

void job_scheduler::agent_disconnected(const vm_name& name) {
    const auto found = vms_.find(name);
    if (found != vms_.end()) {
        found->second.usable = false;
    }
}

vm_orders job_scheduler::take_orders(const vm_name& name, std::uint64_t answered_report) {
    vm_orders orders;
    orders.epoch = epoch_;
    orders.answered_report = answered_report;
    const auto agent = agent_processes_.find(name);
    orders.agent_number = agent == agent_processes_.end() ? 0 : agent->second.number;
    const auto found = vms_.find(name);
    if (found == vms_.end()) {
        return orders;
    }
    vm_state& vm = found->second;
    orders.permission_ms = static_cast<std::uint32_t>(permission_for(vm).count());
    orders.based_on_report = vm.last_report;
    // The agent sent that report before it was applied here, so its count of this time ends first.
    orders.start_within_ms =
        static_cast<std::uint32_t>(std::clamp(std::chrono::duration_cast<milliseconds>(
                                                  starts_allowed_until() - vm.last_report_at),
                                              milliseconds(0), settings_.permission_term)
                                       .count());
    orders.runner_instance = vm.runner.instance;
    orders.acknowledged_ends = vm.acknowledged_end;
    outbox pending = std::move(outboxes_[name]);
    outboxes_.erase(name);
    if (!pending.starts.empty() || !pending.stops.empty()) {
        ++vm.orders_sent;
    }
    orders.number = vm.orders_sent;
    orders.starts = std::move(pending.starts);
    orders.stops = std::move(pending.stops);
    orders.attributes = std::move(pending.attributes);
    orders.pressures = unsent_pressures(vm);
    return orders;
}

milliseconds job_scheduler::permission_for(const vm_state& vm) const {
    if (leadership_confirmed_at_ == boot_time()) {
        return milliseconds(0);
    }
    // A later leader counts on it that no permission lasts longer. The agent sent the report before
    // it was applied here, so its count of this time ends first.
    const boot_time until = leadership_confirmed_at_ + settings_.permission_term;
    return std::clamp(std::chrono::duration_cast<milliseconds>(until - vm.last_report_at),
                      milliseconds(0), settings_.permission_term);
}

std::vector<vm_name> job_scheduler::vms_with_orders() const {
    std::vector<vm_name> names;
    for (const auto& [name, pending] : outboxes_) {
        if (!pending.starts.empty() || !pending.stops.empty() || !pending.attributes.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

void job_scheduler::order_stop(vm_state& vm, const task_attempt& run, boot_time now) {
    tracked_run* const tracked = find_run(run);
    std::vector<task_attempt>& stops = outboxes_[vm.name].stops;
    if (tracked != nullptr && tracked->vm == vm.name) {
        if (tracked->stopping && now < tracked->stop_sent_at + settings_.stop_retry_interval) {
            return;
        }
        tracked->stopping = true;
        tracked->stop_sent_at = now;
    }
    if (std::find(stops.begin(), stops.end(), run) == stops.end()) {
        stops.push_back(run);
    }
}

start_order job_scheduler::attributes_of(const job_entry& job, const task_attempt& run) const {
    const step_spec& step = job.spec.steps[run.task.step];
    start_order order;
    order.run = run;
    order.fills_idle_cpu = step.fills_idle_cpu;
    order.target_latency_ms = step.target_latency_ms;
    order.image = step.image;
    order.cpu_millicores = step.need.cpu_millicores;
    return order;
}

} // namespace egretstile
