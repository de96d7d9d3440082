#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/terms.hpp>
#include <egretstile/core/shard/shard_record.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egretstile {

/// Limits of one shard's record.
struct ledger_limits {
    /// Attempts that fail before the task ends as failed.
    std::uint32_t max_failures{3};
    /// Tasks in the record, final ones included; above it submissions are refused.
    std::size_t max_tasks{4000};
    /// Final tasks are kept so long for duplicates of their submission.
    milliseconds final_retention{24 * 3600 * 1000};
    /// An unanswered start or stop is sent again after this time.
    milliseconds resend_after{1000};
};

/// Start the run on `vm`. Sent only while the owner may grant.
struct start_command {
    vm_name vm;
    incarnation_number incarnation{0};
    task_spec spec;
    attempt_number attempt{0};
    std::string checkpoint;
};

/// Stop the run on `vm`.
struct stop_command {
    vm_name vm;
    task_run run;
    bool take_checkpoint{true};
};

using ledger_command = std::variant<start_command, stop_command>;

/// What one agent said in one heartbeat about the runs of this shard.
struct vm_observation {
    vm_name vm;
    incarnation_number incarnation{0};
    /// False: the agent has not read its worker; `runs` says nothing.
    bool worker_known{false};
    std::string worker_boot;
    /// Runs of this shard only.
    std::vector<run_report> runs;
};

/// What the owner answers about the runs of this shard. Runs that are in neither list go on.
struct observation_answer {
    std::vector<task_run> stop;
    std::vector<task_run> acknowledged;
};

enum class submit_result : std::uint8_t {
    pending,  ///< Will be accepted when the next commit is confirmed.
    known,    ///< Same key and same spec: the task exists already.
    conflict, ///< Same key with another spec.
    full      ///< The record takes no more tasks; nothing was changed.
};

/// A snapshot to write with compare-and-swap.
struct ledger_commit {
    std::uint64_t number{0};
    shard_record record;
};

/// Tasks of one shard, as their owner keeps them. Changes apply to a working copy; commands and
/// acknowledgements that rest on a change are given out only after the commit that holds it was
/// confirmed. Makes no calls. Not thread-safe; `now` must not go back.
///
/// A run ends for the ledger only when (a) the agent reports its end, (b) an agent of a later
/// incarnation reports a complete list of the same worker boot without it (it never started),
/// (c) the worker has a new boot id, or (d) its grant has certainly run out: `grant_term` with
/// margin after the last answer to that VM, and not before `silent_runs_end`. After (b) the task is
/// queued again. After (c) and (d) an idempotent task is queued again from its last checkpoint; a
/// non-idempotent one becomes detached after (d), and interrupted after (c) or `abandon_after`.
class shard_ledger {
public:
    /// `record` is the claimed record as written. `silent_runs_end` as in `shard_ownership`.
    shard_ledger(shard_record record, boot_time silent_runs_end, const lease_terms& terms,
                 const ledger_limits& limits, boot_time now);

    submit_result submit(const task_spec& spec, std::int64_t wall_now_ms);

    /// Whether the key exists (also when only in the working copy). A queued task is cancelled, a
    /// started one is stopped first; a final one stays as it is.
    bool cancel(const task_key& key);

    /// Committed state; nothing when the key is not committed.
    const task_record* find_committed(const task_key& key) const;
    /// State with the changes that are not committed yet.
    const task_record* find(const task_key& key) const;

    /// Tasks that wait for a VM, in order of acceptance.
    std::vector<const task_record*> queued() const;

    /// Commits the task to `vm`; the start command follows the commit. Precondition: it is queued.
    void assign(const task_key& key, const vm_name& vm, incarnation_number incarnation,
                const std::string& worker_boot, boot_time now);

    /// Commits an eviction of the current run; ignored unless the task is running.
    void evict(const task_key& key);

    /// Commits the state parked with a reason; ignored unless the task is queued.
    void park(const task_key& key, const std::string& reason);

    /// Takes one agent's reports. Call only while the owner may grant, and send the answer at once:
    /// the ledger counts the grant from `now`.
    observation_answer observe(const vm_observation& observation, boot_time now);

    /// Takes the answer to one start (running, refused or starting), like a partial observation.
    void start_answered(const vm_name& vm, const run_report& report, boot_time now);

    /// Ends what has certainly run out, drops old final tasks, repeats commands that got no answer.
    void tick(boot_time now, std::int64_t wall_now_ms);

    /// Snapshot with all changes so far; nothing when there is no change or a commit is in flight.
    std::optional<ledger_commit> take_commit();
    void commit_confirmed(std::uint64_t number, boot_time now);
    /// The write certainly had no effect; its changes go into the next commit.
    void commit_failed(std::uint64_t number);

    /// Commands whose commits are confirmed. Each is given once; unanswered ones come again.
    std::vector<ledger_command> take_commands();

    /// Keys whose committed state changed since the last call; wakes waiting callers.
    std::vector<task_key> take_committed_keys();

    std::size_t size() const { return working_.size(); }
};

} // namespace egretstile
