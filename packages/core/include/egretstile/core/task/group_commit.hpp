#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/shard/shard_record.hpp>
#include <egretstile/core/task/task_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace egretstile {

/// A snapshot of the shard record that the caller writes with compare-and-swap.
struct ledger_commit {
    /// Identifies the write in `group_commit::confirm` and `group_commit::fail`.
    std::uint64_t number{0};
    shard_record record;
};

/// Tracks the committed state of one shard, the tasks that changed since, and the write in flight.
/// At most one write is in flight; the next one holds all changes made meanwhile. Confirming a
/// write copies only the tasks that changed. Not thread-safe.
class group_commit {
public:
    /// `record` is the record as stored in the key-value service.
    explicit group_commit(const shard_record& record);

    /// Committed record; null when the key is not committed. The pointer is valid until the next
    /// call of `confirm`.
    const task_record* find(const task_key& key) const;

    /// Marks a task that differs, or may differ, from its committed record.
    void mark_changed(const task_key& key) { changed_.insert(key); }

    /// Starts a write of `tasks` and returns the snapshot to write; nothing when no task differs
    /// from its committed record or a write is in flight.
    std::optional<ledger_commit> begin_write(const task_table& tasks);

    /// The shard record with the current state of `tasks`.
    shard_record snapshot(const task_table& tasks) const;

    /// The write took effect: its tasks become the committed state. Returns the keys of the tasks
    /// that the write changed. Ignored, and empty, unless write `number` is in flight.
    std::vector<task_key> confirm(std::uint64_t number);

    /// The write certainly had no effect: its tasks are marked as changed again. Ignored unless
    /// write `number` is in flight.
    void fail(std::uint64_t number);

private:
    struct write_in_flight {
        std::uint64_t number;
        /// Record of each changed task as written; nothing when the task was removed.
        std::map<task_key, std::optional<task_record>> changes;
    };

    bool is_in_flight(std::uint64_t number) const;
    bool is_committed(const task_key& key, const task_table& tasks) const;
    void record_write_in_flight(const task_table& tasks);

    shard_number shard_;
    epoch_number epoch_;
    entry_id owner_;
    std::map<task_key, task_record> committed_;
    std::set<task_key> changed_;
    std::optional<write_in_flight> in_flight_;
    std::uint64_t last_number_{0};
};

} // namespace egretstile
