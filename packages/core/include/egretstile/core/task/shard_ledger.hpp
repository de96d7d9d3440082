#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>
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

/// Limits and intervals of a shard ledger.
struct ledger_limits {
    /// Number of failed attempts after which an idempotent task ends as failed.
    std::uint32_t max_failures{3};
    /// Maximum number of tasks in the record, final ones included; further submissions are refused.
    std::size_t max_tasks{4000};
    /// Estimated size of the record in bytes above which submissions are refused. The key-value
    /// service stores values of up to 1 MB; the difference is reserved for the VM names,
    /// checkpoints and outcomes that accepted tasks add later.
    std::size_t max_bytes{750'000};
    /// How long a finished task is kept, so that a duplicate of its submission is recognised.
    milliseconds final_retention{24 * 3600 * 1000};
    /// A start or stop command that has not been confirmed is sent again after this time.
    milliseconds resend_after{1000};
};

/// Tells the agent of `vm` to start the run. Sent only while the owner may grant runs.
struct start_command {
    vm_name vm;
    incarnation_number incarnation{0};
    task_spec spec;
    attempt_number attempt{0};
    std::string checkpoint;
};

/// Tells the agent of `vm` to stop the run.
struct stop_command {
    vm_name vm;
    task_run run;
    bool take_checkpoint{true};
};

using ledger_command = std::variant<start_command, stop_command>;

/// The part of one agent's heartbeat that concerns this shard; it exists also when the agent lists
/// no run of the shard.
struct vm_observation {
    vm_name vm;
    incarnation_number incarnation{0};
    /// Number of the heartbeat within the incarnation. An observation is stale when it has a lower
    /// incarnation, or the same incarnation and a lower number, than one received before. A stale
    /// observation changes no task record, but it is answered, and the answer may extend grants.
    std::uint64_t sequence{0};
    /// Whether the agent has read the state of its worker since it started. When false,
    /// `worker_boot` and `runs` carry no information.
    bool worker_known{false};
    /// Boot id of the worker; changes when the worker restarts.
    std::string worker_boot;
    /// Complete list of the agent's runs of this shard.
    std::vector<run_report> runs;
};

/// The owner's reply to a `vm_observation`. A reported run that is in neither list keeps its state;
/// if it has not ended, its grant is extended.
struct observation_answer {
    /// Runs that the agent must stop.
    std::vector<task_run> stop;
    /// Ended runs that the agent may forget: their end is committed, or the shard has no such run.
    std::vector<task_run> acknowledged;
};

enum class submit_result : std::uint8_t {
    pending,           ///< Accepted when its commit is confirmed; also for a duplicate.
    already_committed, ///< A task with the same key and spec is committed.
    conflict,          ///< A task with the same key has another spec.
    full               ///< The record has reached a limit of `ledger_limits`; nothing was changed.
};

/// State machine for the exclusive tasks of one shard, used by the entry that owns the shard.
/// Changes apply to a working copy. Commands and acknowledgements that depend on a change are
/// returned only after the commit that contains the change is confirmed. Makes no calls. Not
/// thread-safe; `now` must not go back.
///
/// The ledger considers a run ended only in these cases:
/// (a) the agent reports its end;
/// (b) an agent of a later incarnation reports a complete list for the same worker boot without the
///     run: it never started;
/// (c) the worker has a new boot id;
/// (d) its grant has certainly expired: `grant_term` with the clock margin has passed since the
///     last answer that granted the run and since the last start command, and `unreported_runs_end`
///     has passed.
/// After (b) the task is queued again. After (c) or (d) an idempotent task is queued again and
/// resumes from its last checkpoint. A non-idempotent task becomes interrupted after (c). After (d)
/// it becomes detached, and interrupted when `abandon_after` has passed as well.
///
/// A start command is valid for `grant_term`, so it may reach the agent after its run was lost or
/// has ended. Case (c) and the acknowledgement of an end therefore wait until no start command of
/// the run can be valid any more.
///
/// When it is unknown whether the write of a commit took effect, the caller repeats the write with
/// the same record and the same expected revision. When the repeated write is refused, the caller
/// reads the record: the commit is confirmed if the record read equals the one written.
class shard_ledger {
public:
    /// `record` is the record that the owner wrote when it claimed the shard. `unreported_runs_end`
    /// is the value of `shard_ownership`: until then a run of a former owner may execute although
    /// no agent reports it.
    shard_ledger(const shard_record& record, boot_time unreported_runs_end,
                 const lease_terms& terms, const ledger_limits& limits, boot_time now);

    /// Adds a queued task to the working copy, unless the key exists or the record is full.
    /// `wall_now_ms` is in milliseconds since 1970.
    submit_result submit(const task_spec& spec, std::int64_t wall_now_ms);

    /// Cancels the task. Returns whether the key exists, in the working copy or committed. A queued
    /// or parked task, or one whose start was not sent, becomes cancelled at once. A started one is
    /// stopped first. A finished one is not changed. A run that succeeds before the stop keeps its
    /// result.
    bool cancel(const task_key& key);

    /// Committed state; null when the key is not committed.
    const task_record* find_committed(const task_key& key) const;
    /// State of the working copy, which includes changes that are not committed yet; null when the
    /// key does not exist.
    const task_record* find(const task_key& key) const;

    /// Keys that begin with `prefix`, in lexical order; includes tasks that are not committed yet.
    std::vector<task_key> keys_with_prefix(const std::string& prefix) const {
        return tasks_.keys_with_prefix(prefix);
    }

    /// Queued tasks in order of acceptance. The pointers are valid until the next call of `tick`.
    std::vector<const task_record*> queued() const;

    /// Assigns the task to `vm` for a new attempt. The start command is due when the assignment is
    /// committed and the latest observation of the VM has this incarnation and worker boot. Ignored
    /// unless the task is queued.
    void assign(const task_key& key, const vm_name& vm, incarnation_number incarnation,
                const std::string& worker_boot, boot_time now);

    /// Evicts the current run: stops it with a checkpoint. The stop command is due after the
    /// commit. Ignored unless the task is running.
    void evict(const task_key& key);

    /// Sets the state to parked, with `reason` as the outcome. Ignored unless the task is queued.
    void park(const task_key& key, const std::string& reason);

    /// Queues a parked task again. Ignored unless the task is parked.
    void unpark(const task_key& key);

    /// Processes the reports of one agent's heartbeat. Call only while the owner may grant runs,
    /// and send the answer at once: the ledger counts the grants that it contains from `now`.
    observation_answer observe(const vm_observation& observation, boot_time now);

    /// Processes the agent's answer to one start command; the phase may be running, refused or
    /// starting. Ignored when the run is not the current one of its task. Precondition: the answer
    /// is from the incarnation that the start command named, because a later one may refuse a start
    /// whose run it has not read from its worker yet. The refusal of a non-idempotent task has no
    /// effect here; it takes effect when an observation of the worker boot that the start was
    /// committed for lists it.
    void apply_start_answer(const vm_name& vm, const run_report& report, boot_time now);

    /// Ends runs whose grant has certainly expired, removes finished tasks after their retention,
    /// and makes unconfirmed commands due again. Call at least once per heartbeat interval while
    /// the owner may grant runs, and not otherwise: an owner that may not grant does not renew the
    /// grants of agents that report, so these grants must not be treated as expired. The ledger
    /// therefore assumes after a gap of more than two heartbeat intervals that the owner could not
    /// grant, and lets no grant expire until one grant term, with the clock margin, after the gap.
    /// `wall_now_ms` is in milliseconds since 1970.
    void tick(boot_time now, std::int64_t wall_now_ms);

    /// The shard record of the working copy.
    shard_record snapshot() const;

    /// Starts a commit and returns the snapshot of the working copy that the caller must write;
    /// nothing when there is no change or a commit is in flight.
    std::optional<ledger_commit> begin_commit();
    /// The write took effect. Ignored unless commit `number` is in flight.
    void commit_confirmed(std::uint64_t number, boot_time now);
    /// The write certainly had no effect; the next commit contains its changes. Ignored unless
    /// commit `number` is in flight.
    void commit_failed(std::uint64_t number);

    /// Returns the due commands, whose commits are confirmed, and clears them. A command that is
    /// not confirmed becomes due again after `resend_after`. Call only while the owner may grant
    /// runs, send the commands at once, and discard those that cannot be sent.
    std::vector<ledger_command> take_commands();

    /// Keys whose committed state changed since the last call, so that the caller can answer the
    /// requests that wait for these tasks.
    std::vector<task_key> take_committed_keys();

    std::size_t size() const { return tasks_.size(); }

private:
    /// Agent and worker state from the latest observation of a VM.
    struct latest_heartbeat {
        bool worker_known;
        incarnation_number incarnation;
        std::uint64_t sequence;
        std::string worker_boot;
    };

    /// How long the owner waits before it treats a grant as expired.
    milliseconds grant_term_with_margin() const { return with_clock_margin(terms_.grant_term); }

    /// Adds a task of the claimed record. Its run may have been started by a former owner.
    void restore_task(const task_record& record, boot_time unreported_runs_end);
    /// The task whose current run on `vm` this is; null when there is none.
    tracked_task* find_run(const vm_name& vm, const task_run& run);
    /// Updates the indexes and marks the task for the next commit. Must follow every change of the
    /// task's record.
    void register_change(tracked_task& task);
    void end_run(tracked_task& task, const run_end& end);

    /// Whether the observation is stale, see `vm_observation::sequence`. If it is not, stores it as
    /// the latest one of its VM.
    bool is_stale(const vm_observation& observation);
    void apply_report(tracked_task& task, const run_report& report);
    void apply_unfinished_report(tracked_task& task, const run_report& report);
    /// Handles the active tasks of the VM that the observation does not list.
    void handle_unlisted_runs(const vm_observation& observation,
                              const std::set<const tracked_task*>& listed);
    void handle_unlisted_run(tracked_task& task, const vm_observation& observation);
    /// The incarnation and the worker boot are those of the task's record.
    void handle_unlisted_by_same_agent(tracked_task& task);
    void answer_report(const vm_name& vm, const run_report& report, observation_answer& answer);
    /// Whether the agent may forget the ended run: its end is committed or the task does not exist,
    /// and no start command of the task can be valid any more.
    bool may_acknowledge(const vm_name& vm, const task_run& run) const;

    /// Ends the current run if its grant has certainly expired. Abandons the run if it is still not
    /// reported `abandon_after` later.
    void end_run_if_expired(tracked_task& task);
    /// Makes the task's command due if it is unconfirmed and was not sent within `resend_after`.
    void schedule_resend(const tracked_task& task);
    /// Tasks that finished while the wall-clock time was not known get the current one.
    void set_missing_finish_times();
    void remove_expired_finished_tasks(std::int64_t wall_now_ms);
    /// The command that the committed state of the task requires; nothing when there is none. For a
    /// start command, extends the grant and the validity of starts.
    std::optional<ledger_command> command_for(tracked_task& task);
    /// Whether the agent and the worker boot that the start was committed for are the latest ones.
    bool can_send_start(const task_record& record) const;

    lease_terms terms_;
    ledger_limits limits_;
    boot_time now_;
    boot_time last_tick_;
    /// No grant is treated as expired before this time.
    boot_time earliest_grant_expiry_;
    /// Wall-clock time in milliseconds since 1970; not set before the first submission or tick.
    std::optional<std::int64_t> wall_now_ms_;
    task_table tasks_;
    group_commit commits_;
    std::map<vm_name, latest_heartbeat> latest_heartbeats_;
    /// Keys of the tasks whose command may be due.
    std::set<task_key> due_keys_;
    /// Result of the next `take_committed_keys`.
    std::set<task_key> committed_keys_;
};

} // namespace egretstile
