#include <egretstile/core/placement/fault_attribution.hpp>

#include <algorithm>
#include <iterator>

namespace egretstile {
namespace {

/// Limits the shift. More doublings of the default `initial_drain` exceed `max_drain` anyway.
constexpr std::uint32_t max_doublings = 10;

} // namespace

bool fits_any_vm(const resources& need, const std::vector<vm_view>& vms) {
    return vms.empty() || std::any_of(vms.begin(), vms.end(),
                                      [&](const vm_view& vm) { return fits(need, vm.capacity); });
}

fault_attribution::fault_attribution(const fault_settings& settings)
    : settings_(settings) {}

void fault_attribution::record_success(const vm_name& vm, const task_key& key) {
    worker_state& worker = workers_[vm];
    worker.failed.clear();
    worker.suspected = false;
    worker.drains = 0;
    tasks_.erase(key);
}

void fault_attribution::record_failure(const vm_name& vm, const task_key& key, boot_time now) {
    worker_state& worker = workers_[vm];
    if (worker.failed.size() < settings_.worker_failure_limit) {
        worker.failed.insert(key);
    }
    if (!worker.suspected) {
        tasks_[key].insert(vm);
    }
    drain_if_faulty(vm, worker, now);
}

bool fault_attribution::is_drained(const vm_name& vm, boot_time now) const {
    const auto found = workers_.find(vm);
    return found != workers_.end() && now < found->second.drained_until;
}

bool fault_attribution::is_task_faulty(const task_key& key) const {
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return false;
    }
    return found->second.size() >= settings_.task_failure_limit;
}

void fault_attribution::drain_if_faulty(const vm_name& vm, worker_state& worker, boot_time now) {
    // A worker that fails again after a drain, before any run succeeded, is drained at once.
    const std::size_t limit = worker.suspected ? 1 : settings_.worker_failure_limit;
    if (now < worker.drained_until || worker.failed.size() < limit) {
        return;
    }
    if ((!worker.suspected && !others_succeed(worker)) || !may_drain(now)) {
        return;
    }
    worker.suspected = true;
    worker.failed.clear();
    worker.drained_until =
        now + std::min(settings_.max_drain,
                       settings_.initial_drain * (1U << std::min(worker.drains, max_doublings)));
    ++worker.drains;
    // The tasks are not at fault for their failures on a faulty worker.
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        task->second.erase(vm);
        task = task->second.empty() ? tasks_.erase(task) : std::next(task);
    }
}

bool fault_attribution::may_drain(boot_time now) const {
    const auto drained = static_cast<std::size_t>(
        std::count_if(workers_.begin(), workers_.end(),
                      [&](const auto& worker) { return now < worker.second.drained_until; }));
    const std::size_t known = workers_.size();
    const std::size_t share = known * settings_.max_drained_percent / 100;
    return known >= 2 && drained < std::clamp<std::size_t>(share, 1, known - 1);
}

bool fault_attribution::others_succeed(const worker_state& worker) const {
    std::size_t others = 0;
    std::size_t failures = 0;
    for (const auto& [vm, other] : workers_) {
        if (&other != &worker && !other.suspected) {
            ++others;
            failures += other.failed.size();
        }
    }
    // Compares with the number of workers instead of the number of results, because a worker on
    // which tasks fail immediately produces most of the results. When runs fail in a row on the
    // other workers too, a faulty batch of tasks is the more likely cause.
    return others > 0 && failures <= others;
}

} // namespace egretstile
