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

/// A snapshot to write with compare-and-swap.
struct ledger_commit {
    std::uint64_t number{0};
    shard_record record;
};

/// Committed state of one shard, and the one write that may be in flight. A confirmation copies
/// only the tasks that changed. Not thread-safe.
class group_commit {
public:
    /// `record` is the record as stored.
    explicit group_commit(const shard_record& record);

    /// Committed record; nothing when the key is not committed.
    const task_record* find(const task_key& key) const;

    /// The task differs, or may differ, from its committed record.
    void mark_changed(const task_key& key) { changed_.insert(key); }

    /// Snapshot of `tasks`; nothing when no task differs or a write is in flight.
    std::optional<ledger_commit> take(const task_table& tasks);

    /// The record with `tasks` as they are.
    shard_record snapshot(const task_table& tasks) const;

    /// Keys of the tasks that the write changed; none unless it is in flight.
    std::vector<task_key> confirm(std::uint64_t number);

    /// The write certainly had no effect.
    void fail(std::uint64_t number);

private:
    struct write_in_flight {
        std::uint64_t number;
        /// Nothing: the task was dropped.
        std::map<task_key, std::optional<task_record>> changes;
    };

    bool is_in_flight(std::uint64_t number) const;
    bool is_committed(const task_key& key, const task_table& tasks) const;
    void start_write(const task_table& tasks);

    shard_number shard_;
    epoch_number epoch_;
    entry_id owner_;
    std::map<task_key, task_record> committed_;
    std::set<task_key> changed_;
    std::optional<write_in_flight> in_flight_;
    std::uint64_t last_number_{0};
};

} // namespace egretstile
