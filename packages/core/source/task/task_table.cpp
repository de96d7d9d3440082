#include <egretstile/core/task/task_table.hpp>

namespace egretstile {

namespace {

/// Encoded size of the numbers and length fields of a task record in bytes, rounded up.
constexpr std::size_t fixed_record_bytes = 200;

} // namespace

std::size_t task_table::estimated_bytes(const task_record& record) {
    return fixed_record_bytes + record.spec.key.size() + record.spec.team.size() +
           record.spec.payload.size() + record.vm.size() + record.worker_boot.size() +
           record.checkpoint.size() + record.outcome.size();
}

tracked_task* task_table::find(const task_key& key) {
    const std::map<task_key, tracked_task>::iterator found = tasks_.find(key);
    return found == tasks_.end() ? nullptr : &found->second;
}

const tracked_task* task_table::find(const task_key& key) const {
    const std::map<task_key, tracked_task>::const_iterator found = tasks_.find(key);
    return found == tasks_.end() ? nullptr : &found->second;
}

std::vector<task_key> task_table::keys_with_prefix(const std::string& prefix) const {
    std::vector<task_key> keys;
    for (auto task = tasks_.lower_bound(prefix);
         task != tasks_.end() && task->first.compare(0, prefix.size(), prefix) == 0; ++task) {
        keys.push_back(task->first);
    }
    return keys;
}

tracked_task& task_table::add(const task_record& record) {
    tracked_task& task = tasks_[record.spec.key];
    task.record = record;
    task.order = next_order_++;
    all_.emplace(task.order, &task);
    return task;
}

void task_table::update(tracked_task& task, std::optional<std::int64_t> wall_now_ms) {
    remove_from_indexes(task);
    task_record& record = task.record;
    if (!has_finished(record.state)) {
        record.finished_at_ms = 0;
    } else if (record.finished_at_ms == 0) {
        record.finished_at_ms = wall_now_ms.value_or(0);
    }
    const std::size_t bytes = estimated_bytes(record);
    bytes_ = bytes_ - task.bytes + bytes;
    task.bytes = bytes;
    add_to_indexes(task);
}

void task_table::erase(tracked_task& task) {
    remove_from_indexes(task);
    all_.erase(task.order);
    bytes_ -= task.bytes;
    const task_key key = task.record.spec.key;
    tasks_.erase(key);
}

tracked_task* task_table::oldest_finished() const {
    return finished_.empty() ? nullptr : finished_.begin()->second;
}

const task_index& task_table::active_on(const vm_name& vm) const {
    static const task_index no_tasks;
    const std::map<vm_name, task_index>::const_iterator found = active_on_.find(vm);
    return found == active_on_.end() ? no_tasks : found->second;
}

void task_table::remove_from_indexes(const tracked_task& task) {
    queued_.erase(task.order);
    without_finish_time_.erase(task.order);
    finished_.erase(std::pair(task.record.finished_at_ms, task.order));
    if (active_.erase(task.order) == 0) {
        return;
    }
    // A record gets another VM only while the task is not active, so `record.vm` is the VM under
    // which the task is indexed.
    const std::map<vm_name, task_index>::iterator on_vm = active_on_.find(task.record.vm);
    if (on_vm != active_on_.end()) {
        on_vm->second.erase(task.order);
    }
}

void task_table::add_to_indexes(tracked_task& task) {
    const task_record& record = task.record;
    if (record.state == task_state::queued) {
        queued_.emplace(task.order, &task);
    } else if (may_be_running(record.state)) {
        active_.emplace(task.order, &task);
        active_on_[record.vm].emplace(task.order, &task);
    } else if (has_finished(record.state) && record.finished_at_ms == 0) {
        without_finish_time_.emplace(task.order, &task);
    } else if (has_finished(record.state)) {
        finished_.emplace(std::pair(record.finished_at_ms, task.order), &task);
    }
}

} // namespace egretstile
