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

/// Whether the task is final and not parked: an operator may still resume or cancel a parked task.
/// Thread-safe.
constexpr bool has_finished(task_state state) {
    return is_final(state) && state != task_state::parked;
}

/// A task of a shard's working copy, with the owner's knowledge of its current run.
struct tracked_task {
    /// `task_table::update` must follow every change.
    task_record record;
    /// Position in the order of acceptance.
    std::uint64_t order{0};
    /// Whether this owner or a former one may have sent a start command of this attempt.
    bool start_sent{false};
    /// Whether an agent has reported the run to this owner.
    bool run_reported{false};
    /// The run certainly does not execute after this time, unless it is granted again.
    boot_time granted_until{};
    /// No agent admits a start command of any attempt sent so far after this time.
    boot_time start_valid_until{};
    /// When the latest start or stop command was sent; cleared when another command is needed.
    std::optional<boot_time> command_sent_at;
    /// When the owner found that the grant of a non-idempotent run had expired.
    std::optional<boot_time> grant_expired_at;
    /// Estimated size of the encoded record, in bytes.
    std::size_t bytes{0};
};

/// Tasks by `tracked_task::order`.
using task_index = std::map<std::uint64_t, tracked_task*>;

/// Tasks of one shard with indexes by state and VM, so that no call of the ledger has to visit all
/// of them. Not thread-safe.
class task_table {
public:
    /// Estimated size of the encoded record, in bytes. Thread-safe.
    static std::size_t estimated_bytes(const task_record& record);

    task_table() = default;
    task_table(const task_table&) = delete;
    task_table& operator=(const task_table&) = delete;
    task_table(task_table&&) = default;
    task_table& operator=(task_table&&) = default;
    ~task_table() = default;

    tracked_task* find(const task_key& key);
    const tracked_task* find(const task_key& key) const;

    /// Keys that begin with `prefix`, in lexical order.
    std::vector<task_key> keys_with_prefix(const std::string& prefix) const;

    /// Adds a task as the last one in the order of acceptance. Precondition: the key is not in the
    /// table. `update` must follow.
    tracked_task& add(const task_record& record);

    /// Updates the indexes after a change of the record, and sets `finished_at_ms` of a task that
    /// has finished. `wall_now_ms` is in milliseconds since 1970; nothing while the wall-clock time
    /// is not known.
    void update(tracked_task& task, std::optional<std::int64_t> wall_now_ms);

    /// Removes the task; `task` is invalid afterwards.
    void erase(tracked_task& task);

    /// Finished task with the earliest `finished_at_ms`; null when no finished task has that time.
    tracked_task* oldest_finished() const;

    /// Finished tasks whose `finished_at_ms` is not set.
    const task_index& without_finish_time() const { return without_finish_time_; }

    const task_index& all() const { return all_; }

    const task_index& queued() const { return queued_; }

    /// Tasks whose state is `may_be_running`.
    const task_index& active() const { return active_; }

    /// Active tasks of one VM.
    const task_index& active_on(const vm_name& vm) const;

    std::size_t size() const { return tasks_.size(); }

    /// Estimated size of all encoded records, in bytes.
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
    /// Finished tasks by `finished_at_ms`, then `tracked_task::order`.
    std::map<std::pair<std::int64_t, std::uint64_t>, tracked_task*> finished_;
    task_index without_finish_time_;
};

} // namespace egretstile
