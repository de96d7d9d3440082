#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/terms.hpp>
#include <egretstile/core/shard/shard_record.hpp>
#include <egretstile/core/task/group_commit.hpp>
#include <egretstile/core/task/task.hpp>
#include <egretstile/core/task/task_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egretstile {

struct run_end;

/// Limits of one shard's record.
struct ledger_limits {
    /// Attempts that fail before the task ends as failed.
    std::uint32_t max_failures{3};
    /// Tasks in the record, final ones included; above it submissions are refused.
    std::size_t max_tasks{4000};
    /// Estimated size of the record above which submissions are refused. The key-value service
    /// holds values up to 1 MB; the rest is left for VM names, checkpoints and outcomes of tasks
    /// that are accepted already.
    std::size_t max_bytes{750'000};
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

/// What one agent said in one heartbeat about the runs of this shard; also when it listed none.
struct vm_observation {
    vm_name vm;
    incarnation_number incarnation{0};
    /// Number of the heartbeat. An observation with a lower incarnation, or a lower number of the
    /// same incarnation, than one taken before changes no state.
    std::uint64_t sequence{0};
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
    pending,  ///< Will be accepted when the next commit is confirmed; also for a duplicate.
    known,    ///< Same key and same spec: the task is committed already.
    conflict, ///< Same key with another spec.
    full      ///< The record takes no more tasks; nothing was changed.
};

/// Tasks of one shard, as their owner keeps them. Changes apply to a working copy; commands and
/// acknowledgements that rest on a change are given out only after the commit that holds it was
/// confirmed. Makes no calls. Not thread-safe; `now` must not go back.
///
/// A run ends for the ledger only when (a) the agent reports its end, (b) an agent of a later
/// incarnation reports a complete list of the same worker boot without it (it never started),
/// (c) the worker has a new boot id, or (d) its grant has certainly run out: `grant_term` with
/// margin after the last answer that granted it or the last start command, and not before
/// `silent_runs_end`. After (b) the task is queued again. After (c) and (d) an idempotent task is
/// queued again from its last checkpoint; a non-idempotent one becomes detached after (d), and
/// interrupted after (c) or `abandon_after`.
///
/// A start command is valid for `grant_term`, so it may reach the agent after its run was lost or
/// has ended. (c) and the acknowledgement of an end therefore wait until no start of the run can
/// be valid any more.
///
/// When the fate of a commit's write is not known, repeat the write with the same record and the
/// same expected revision, and read the record when it is refused: it is confirmed when the record
/// read is the one written.
class shard_ledger {
public:
    /// `record` is the claimed record as written. `silent_runs_end` as in `shard_ownership`.
    shard_ledger(const shard_record& record, boot_time silent_runs_end, const lease_terms& terms,
                 const ledger_limits& limits, boot_time now);

    submit_result submit(const task_spec& spec, std::int64_t wall_now_ms);

    /// Whether the key exists (also when only in the working copy). A queued or parked task is
    /// cancelled, a started one is stopped first; any other final one stays as it is. A run that
    /// ends by itself before the stop keeps its result.
    bool cancel(const task_key& key);

    /// Committed state; nothing when the key is not committed.
    const task_record* find_committed(const task_key& key) const;
    /// State with the changes that are not committed yet.
    const task_record* find(const task_key& key) const;

    /// Tasks that wait for a VM, in order of acceptance. The pointers are valid until the next call
    /// of `tick`.
    std::vector<const task_record*> queued() const;

    /// Commits the task to `vm`; the start command follows the commit, and the first observation of
    /// that incarnation and worker boot. Ignored unless the task is queued.
    void assign(const task_key& key, const vm_name& vm, incarnation_number incarnation,
                const std::string& worker_boot, boot_time now);

    /// Commits an eviction of the current run; ignored unless the task is running.
    void evict(const task_key& key);

    /// Commits the state parked with a reason; ignored unless the task is queued.
    void park(const task_key& key, const std::string& reason);

    /// Commits a parked task as queued; ignored unless the task is parked.
    void unpark(const task_key& key);

    /// Takes one agent's reports. Call only while the owner may grant, and send the answer at once:
    /// the ledger counts the grant from `now`.
    observation_answer observe(const vm_observation& observation, boot_time now);

    /// Takes the answer to one start (running, refused or starting), like a partial observation.
    /// Call only with an answer of the incarnation that the start named: a later one may refuse a
    /// start whose run it has not read from its worker yet. The refusal of a non-idempotent task
    /// counts only when an observation of the worker boot that the start was committed for lists
    /// it.
    void start_answered(const vm_name& vm, const run_report& report, boot_time now);

    /// Ends what has certainly run out, drops old final tasks, repeats commands that got no answer.
    /// Call at least each heartbeat interval while the owner may grant, and not otherwise: agents
    /// cannot be granted meanwhile, so their silence does not count. A longer gap between calls
    /// means such a time, and nothing runs out until one grant term after it.
    void tick(boot_time now, std::int64_t wall_now_ms);

    /// Snapshot with all changes so far; nothing when there is no change or a commit is in flight.
    std::optional<ledger_commit> take_commit();
    /// Ignored unless this commit is in flight.
    void commit_confirmed(std::uint64_t number, boot_time now);
    /// The write certainly had no effect; its changes go into the next commit.
    void commit_failed(std::uint64_t number);

    /// Commands whose commits are confirmed. Each is given once; unanswered ones come again. Call
    /// only while the owner may grant, and send at once; drop what cannot be sent.
    std::vector<ledger_command> take_commands();

    /// Keys whose committed state changed since the last call; wakes waiting callers.
    std::vector<task_key> take_committed_keys();

    std::size_t size() const { return tasks_.size(); }

private:
    /// What the last observation said about an agent and its worker.
    struct vm_contact {
        bool worker_known;
        incarnation_number incarnation;
        std::uint64_t sequence;
        std::string worker_boot;
    };

    milliseconds grant_wait() const { return with_clock_margin(terms_.grant_term); }

    void adopt(const task_record& record, boot_time silent_runs_end);
    /// Task whose current run this is; nothing when it is no current run of a task.
    tracked_task* find_run(const vm_name& vm, const task_run& run);
    /// Must follow every change of the record.
    void record_changed(tracked_task& task);
    void end_run(tracked_task& task, const run_end& end);

    /// Whether the observation is older than one taken before; otherwise remembers it.
    bool is_stale(const vm_observation& observation);
    void take_report(tracked_task& task, const run_report& report);
    void take_unfinished(tracked_task& task, const run_report& report);
    void take_absences(const vm_observation& observation,
                       const std::set<const tracked_task*>& listed);
    void take_absence(tracked_task& task, const vm_observation& observation);
    void take_absence_same_agent(tracked_task& task);
    void answer_report(const vm_name& vm, const run_report& report, observation_answer& answer);
    bool may_acknowledge(const vm_name& vm, const task_run& run) const;

    void expire(tracked_task& task);
    void repeat_command(const tracked_task& task);
    void date_finished_tasks();
    void drop_old_finished_tasks(std::int64_t wall_now_ms);
    std::optional<ledger_command> command_for(tracked_task& task);
    bool agent_takes_start(const task_record& record) const;

    lease_terms terms_;
    ledger_limits limits_;
    boot_time now_;
    boot_time last_tick_;
    /// Nothing runs out before this time.
    boot_time silence_counts_from_;
    /// Nothing before the first submission or tick.
    std::optional<std::int64_t> wall_now_ms_;
    task_table tasks_;
    group_commit commits_;
    std::map<vm_name, vm_contact> contacts_;
    /// Tasks whose command may be due.
    std::set<task_key> due_;
    std::set<task_key> committed_keys_;
};

} // namespace egretstile
