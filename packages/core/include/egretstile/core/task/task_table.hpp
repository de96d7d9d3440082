#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

/// Whether the task is over. A parked task is not: an operator may still resume or cancel it.
/// Thread-safe.
constexpr bool has_finished(task_state state) {
    return is_final(state) && state != task_state::parked;
}

/// A task of a shard's working copy, with what its owner knows about the current run.
struct tracked_task {
    /// `task_table::update` must follow every change.
    task_record record;
    /// Order of acceptance.
    std::uint64_t order{0};
    /// A start command of this attempt may have left, from this owner or a former one.
    bool start_sent{false};
    /// An agent reported the run to this owner.
    bool answered{false};
    /// The run certainly does not execute after this time.
    boot_time granted_until{};
    /// No start command of any attempt can be admitted after this time.
    boot_time start_valid_until{};
    std::optional<boot_time> command_sent_at;
    /// When the grant of a non-idempotent run was found to have run out.
    std::optional<boot_time> silent_since;
    /// Estimated size of the encoded record.
    std::size_t bytes{0};
};

/// Tasks by order of acceptance.
using task_index = std::map<std::uint64_t, tracked_task*>;

/// Tasks of one shard with indexes by state and VM, so that no call of the ledger has to look at
/// all of them. Not thread-safe.
class task_table {
public:
    /// Estimated size of the encoded record.
    static std::size_t estimated_bytes(const task_record& record);

    task_table() = default;
    task_table(const task_table&) = delete;
    task_table& operator=(const task_table&) = delete;
    task_table(task_table&&) = default;
    task_table& operator=(task_table&&) = default;
    ~task_table() = default;

    tracked_task* find(const task_key& key);
    const tracked_task* find(const task_key& key) const;

    /// Keys that begin with `prefix`, in order.
    std::vector<task_key> keys_with_prefix(const std::string& prefix) const;

    /// Adds a task as the last one. Precondition: the key is not in the table. `update` must
    /// follow.
    tracked_task& add(const task_record& record);

    /// Brings the indexes up to date, and dates the end of a task that has finished since.
    /// `wall_now_ms` is nothing while the wall-clock time is not known.
    void update(tracked_task& task, std::optional<std::int64_t> wall_now_ms);

    void erase(tracked_task& task);

    /// Finished task with the earliest end; nothing when there is none.
    tracked_task* oldest_finished() const;

    /// Finished tasks whose end has no date yet.
    const task_index& undated() const { return undated_; }

    const task_index& all() const { return all_; }

    const task_index& queued() const { return queued_; }

    /// Tasks in a state in which a run may exist.
    const task_index& active() const { return active_; }

    /// Active tasks of one VM.
    const task_index& active_on(const vm_name& vm) const;

    std::size_t size() const { return tasks_.size(); }

    /// Estimated size of the encoded records.
    std::size_t bytes() const { return bytes_; }

private:
    void remove_from_indexes(const tracked_task& task);
    void add_to_indexes(tracked_task& task);

    std::map<task_key, tracked_task> tasks_;
    std::uint64_t next_order_{0};
    std::size_t bytes_{0};
    task_index all_;
    task_index queued_;
    task_index active_;
    std::map<vm_name, task_index> active_on_;
    /// By time of the end, then order.
    std::map<std::pair<std::int64_t, std::uint64_t>, tracked_task*> finished_;
    task_index undated_;
};

} // namespace egretstile
