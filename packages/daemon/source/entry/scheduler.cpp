#include "entry/scheduler.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace egretstile::daemon {

scheduler::scheduler(const entry_settings& settings, task_service& tasks, fleet& known_fleet,
                     const plan_keeper& plans, std::unique_ptr<placement_strategy> strategy)
    : settings_(settings)
    , tasks_(tasks)
    , fleet_(known_fleet)
    , plans_(plans)
    , strategy_(std::move(strategy)) {}

void scheduler::run(boot_time now) {
    // Agents would refuse starts of a stale plan; assigning them would only cost commits.
    if (!plans_.view().is_fresh(now, settings_.common.terms.plan_freshness_bound)) {
        return;
    }
    const std::vector<candidate> tasks = queued_candidates(now);
    if (tasks.empty()) {
        return;
    }
    std::vector<vm_view> views = fleet_.placement_views(now, plans_.current());
    for (const candidate& task : tasks) {
        place(task, views, now);
    }
}

std::vector<scheduler::candidate> scheduler::queued_candidates(boot_time now) {
    std::vector<candidate> tasks;
    tasks_.for_each_owned([&tasks, now](shard_host& shard) {
        if (!shard.takes_tasks() || !shard.may_grant(now)) {
            return;
        }
        for (const task_record* const record : shard.ledger().queued()) {
            tasks.push_back({&shard, record->spec, record->accepted_at_ms});
        }
    });
    std::stable_sort(tasks.begin(), tasks.end(), [](const candidate& left, const candidate& right) {
        if (left.spec.priority != right.spec.priority) {
            return left.spec.priority == task_priority::urgent;
        }
        return left.accepted_at_ms < right.accepted_at_ms;
    });
    return tasks;
}

void scheduler::place(const candidate& task, std::vector<vm_view>& views, boot_time now) {
    const std::optional<std::size_t> chosen = strategy_->choose(task.spec, views);
    if (!chosen) {
        return;
    }
    vm_view& view = views.at(*chosen);
    task.shard->ledger().assign(task.spec.key, view.vm, view.incarnation, view.worker_boot, now);
    const task_record* const record = task.shard->ledger().find(task.spec.key);
    const placed_run run{
        {task.spec.key, record->attempt}, task.spec.team, task.spec.kind, task.spec.need, {}};
    view.reserved = view.reserved + task.spec.need;
    view.runs.push_back(run);
    fleet_.note_assignment(view.vm, run, now);
}

} // namespace egretstile::daemon
