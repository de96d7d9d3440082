#include "entry/scheduler.hpp"

#include <egretstile/core/placement/make_placement_strategy.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

/// Tasks that one round tries to place; bounds how long a round occupies the event loop.
constexpr std::size_t tasks_per_round = 200;
/// A task for which no VM has room is tried again after this time.
constexpr milliseconds placement_retry_delay{200};
/// A task that needs more than any known VM has is parked only when at least this many VMs are
/// known; with fewer, the set may be incomplete.
constexpr std::size_t min_vms_for_fit_check = 3;

} // namespace

scheduler::scheduler(const entry_settings& settings, task_service& tasks, fleet& vm_fleet,
                     const plan_client& plans)
    : settings_(settings)
    , tasks_(tasks)
    , fleet_(vm_fleet)
    , plans_(plans)
    , controller_(interference_settings{})
    , strategy_(make_placement_strategy(settings.placement, settings.routing.seed, interference_)) {
}

void scheduler::protect_service(const fleet_vm& vm, boot_time now) {
    interference_.observe(vm.view, now);
    if (settings_.placement != placement_policy::interference_aware) {
        return;
    }
    const std::vector<interference_action> actions = controller_.decide(
        vm.view, interference_, [this](const task_run& run) { return owns_running(run); }, now);
    for (const interference_action& action : actions) {
        carry_out(vm, action);
    }
}

void scheduler::record_run_end(const vm_name& vm, const run_report& report, boot_time now) {
    if (report.phase == run_phase::succeeded) {
        faults_.record_success(vm, report.run.key);
        faults_.forget_task(report.run.key);
    } else if (report.phase == run_phase::failed) {
        faults_.record_failure(vm, report.run.key, now);
    }
}

void scheduler::remove_vm(const vm_name& vm) {
    interference_.remove_vm(vm);
    controller_.remove_vm(vm);
    faults_.remove_vm(vm);
}

void scheduler::run(boot_time now) {
    // Agents refuse starts under a stale plan, so assignments would only cost commits.
    if (!plans_.revision_tracker().is_fresh(now, settings_.common.terms.plan_freshness_bound)) {
        return;
    }
    const std::map<task_key, queued_task> queued_tasks = collect_queued(now);
    remove_absent_from_queue(queued_tasks);
    if (queued_tasks.empty()) {
        return;
    }
    update_queue(queued_tasks, now);
    std::vector<vm_view> vms = views(now);
    for (const task_key& key : queue_.order(tasks_per_round, now)) {
        const queued_task& task = queued_tasks.at(key);
        if (!park_if_unplaceable(task, vms)) {
            place(task, vms, now);
        }
    }
}

std::string scheduler::wait_reason(const task_spec& spec, boot_time now) const {
    if (!plans_.revision_tracker().is_fresh(now, settings_.common.terms.plan_freshness_bound)) {
        return "the plan cannot be confirmed at the key-value service";
    }
    const std::vector<vm_view> vms = views(now);
    std::size_t accepting_vms = 0;
    std::size_t fitting_vms = 0;
    for (const vm_view& vm : vms) {
        accepting_vms += vm.accepts_tasks ? 1 : 0;
        fitting_vms += vm.accepts_tasks && fits(spec.need, vm.capacity - vm.reserved) ? 1 : 0;
    }
    if (accepting_vms == 0) {
        return "no VM accepts tasks: domains out, VMs drained or agents silent";
    }
    if (fitting_vms == 0) {
        return "no VM of the " + std::to_string(accepting_vms) + " that accept tasks has room";
    }
    return "its turn has not come, or its team is at its quota";
}

std::map<task_key, scheduler::queued_task> scheduler::collect_queued(boot_time now) {
    std::map<task_key, queued_task> queued_tasks;
    tasks_.for_each_owned([&queued_tasks, now](shard_host& shard) {
        if (!shard.can_accept_tasks() || !shard.may_grant(now)) {
            return;
        }
        for (const task_record* const record : shard.ledger().queued()) {
            queued_tasks[record->spec.key] = {&shard, record};
        }
    });
    return queued_tasks;
}

void scheduler::remove_absent_from_queue(const std::map<task_key, queued_task>& queued_tasks) {
    for (const task_key& key : queued_keys_) {
        if (queued_tasks.count(key) == 0) {
            queue_.remove(key);
        }
    }
    queued_keys_.clear();
}

void scheduler::update_queue(const std::map<task_key, queued_task>& queued_tasks, boot_time now) {
    for (const auto& [key, task] : queued_tasks) {
        const task_spec& spec = task.record->spec;
        queue_.add({key, spec.team, spec.priority, spec.need, now});
        queued_keys_.push_back(key);
    }
    if (plans_.revision_tracker().revision() != quota_revision_) {
        quota_revision_ = plans_.revision_tracker().revision();
        queue_.set_quotas(plans_.current().teams);
    }
    std::unordered_map<std::string, resources> running;
    for (const vm_view& vm : fleet_.placement_views(now, plans_.current())) {
        for (const placed_run& run : vm.runs) {
            resources& used = running[run.team];
            used = used + run.need;
        }
    }
    queue_.set_running(running);
}

std::vector<vm_view> scheduler::views(boot_time now) const {
    std::vector<vm_view> vms = fleet_.placement_views(now, plans_.current());
    for (vm_view& vm : vms) {
        vm.accepts_tasks = vm.accepts_tasks && !faults_.is_drained(vm.vm, now);
    }
    return vms;
}

bool scheduler::park_if_unplaceable(const queued_task& task, const std::vector<vm_view>& vms) {
    const task_key key = task.record->spec.key;
    if (faults_.is_task_faulty(key)) {
        task.shard->ledger().park(key, "failed on several healthy workers");
    } else if (vms.size() >= min_vms_for_fit_check && !fits_any_vm(task.record->spec.need, vms)) {
        task.shard->ledger().park(key, "needs more than any VM has");
    } else {
        return false;
    }
    write_log(log_part::task, log_level::warning, "Parked a task.", "task=" + key);
    return true;
}

void scheduler::place(const queued_task& task, std::vector<vm_view>& vms, boot_time now) {
    const task_spec spec = task.record->spec;
    const std::optional<std::size_t> chosen = strategy_->choose(spec, vms);
    if (!chosen) {
        queue_.postpone(spec.key, now + placement_retry_delay);
        return;
    }
    vm_view& view = vms.at(*chosen);
    task.shard->ledger().assign(spec.key, view.vm, view.incarnation, view.worker_boot, now);
    const task_record* const record = task.shard->ledger().find(spec.key);
    const placed_run run{{spec.key, record->attempt}, spec.team, spec.kind, spec.need, {}};
    view.reserved = view.reserved + spec.need;
    view.runs.push_back(run);
    queue_.record_start(spec.key);
    fleet_.record_assignment(view.vm, run, now);
}

void scheduler::carry_out(const fleet_vm& vm, const interference_action& action) {
    if (const throttle_run* const throttle = std::get_if<throttle_run>(&action)) {
        const shard_host& shard = tasks_.shard_of_key(throttle->run.key);
        fleet_.send(vm.view.vm, wire::throttle_task{shard.number(), shard.epoch(), throttle->run,
                                                    throttle->cpu_percent});
        return;
    }
    const evict_run& evict = std::get<evict_run>(action);
    write_log(log_part::task, log_level::info, "Evicting a task that disturbs a service.",
              "task=" + evict.run.key + " vm=" + vm.view.vm);
    tasks_.shard_of_key(evict.run.key).ledger().evict(evict.run.key);
}

bool scheduler::owns_running(const task_run& run) {
    const shard_host& shard = tasks_.shard_of_key(run.key);
    if (!shard.can_accept_tasks()) {
        return false;
    }
    const task_record* const record = shard.ledger().find(run.key);
    return record != nullptr && record->attempt == run.attempt &&
           record->state == task_state::running;
}

} // namespace egretstile::daemon
