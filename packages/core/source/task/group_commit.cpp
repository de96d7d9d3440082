#include <egretstile/core/task/group_commit.hpp>

#include <utility>

namespace egretstile {

group_commit::group_commit(const shard_record& record)
    : shard_(record.shard)
    , epoch_(record.epoch)
    , owner_(record.owner) {
    for (const task_record& task : record.tasks) {
        committed_.emplace(task.spec.key, task);
    }
}

const task_record* group_commit::find(const task_key& key) const {
    const std::map<task_key, task_record>::const_iterator found = committed_.find(key);
    return found == committed_.end() ? nullptr : &found->second;
}

std::optional<ledger_commit> group_commit::begin_write(const task_table& tasks) {
    if (in_flight_) {
        return std::nullopt;
    }
    std::erase_if(changed_, [&](const task_key& key) { return is_committed(key, tasks); });
    if (changed_.empty()) {
        return std::nullopt;
    }
    record_write_in_flight(tasks);
    return ledger_commit{last_number_, snapshot(tasks)};
}

shard_record group_commit::snapshot(const task_table& tasks) const {
    shard_record record;
    record.shard = shard_;
    record.epoch = epoch_;
    record.owner = owner_;
    record.tasks.reserve(tasks.size());
    for (const task_index::value_type& row : tasks.all()) {
        record.tasks.push_back(row.second->record);
    }
    return record;
}

std::vector<task_key> group_commit::confirm(std::uint64_t number) {
    std::vector<task_key> keys;
    if (!is_in_flight(number)) {
        return keys;
    }
    for (std::pair<const task_key, std::optional<task_record>>& change : in_flight_->changes) {
        keys.push_back(change.first);
        if (change.second) {
            committed_[change.first] = std::move(*change.second);
        } else {
            committed_.erase(change.first);
        }
    }
    in_flight_.reset();
    return keys;
}

void group_commit::fail(std::uint64_t number) {
    if (!is_in_flight(number)) {
        return;
    }
    for (const std::pair<const task_key, std::optional<task_record>>& change :
         in_flight_->changes) {
        changed_.insert(change.first);
    }
    in_flight_.reset();
}

bool group_commit::is_in_flight(std::uint64_t number) const {
    return in_flight_ && in_flight_->number == number;
}

bool group_commit::is_committed(const task_key& key, const task_table& tasks) const {
    const tracked_task* const working = tasks.find(key);
    const task_record* const committed = find(key);
    if (working == nullptr || committed == nullptr) {
        return working == nullptr && committed == nullptr;
    }
    return working->record == *committed;
}

void group_commit::record_write_in_flight(const task_table& tasks) {
    in_flight_.emplace(write_in_flight{++last_number_, {}});
    for (const task_key& key : changed_) {
        const tracked_task* const task = tasks.find(key);
        std::optional<task_record> record;
        if (task != nullptr) {
            record = task->record;
        }
        in_flight_->changes.emplace(key, std::move(record));
    }
    changed_.clear();
}

} // namespace egretstile
