#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/resources.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace egretstile {

/// Kind of an exclusive task; indicates how long it runs. Whether a run may be repeated depends on
/// `task_spec::idempotent`.
enum class task_kind : std::uint8_t { reconciliation, notice, schedule, watch };

inline constexpr std::array<enum_name<task_kind>, 4> task_kind_names{
    {{task_kind::reconciliation, "reconciliation"},
     {task_kind::notice, "notice"},
     {task_kind::schedule, "schedule"},
     {task_kind::watch, "watch"}}};

/// Priority of a task; urgent tasks are started before normal ones.
enum class task_priority : std::uint8_t { normal, urgent };

inline constexpr std::array<enum_name<task_priority>, 2> task_priority_names{
    {{task_priority::normal, "normal"}, {task_priority::urgent, "urgent"}}};

/// Description of a task as submitted. Does not change after acceptance.
struct task_spec {
    task_key key;
    task_kind kind{task_kind::reconciliation};
    task_priority priority{task_priority::normal};
    std::string team;
    resources need;
    /// Whether the task may run again after a run that ended without a confirmed stop.
    bool idempotent{false};
    /// Expected run time, used only as a hint for placement. A watch task runs until it is
    /// cancelled.
    milliseconds declared_run_time{0};
    /// Opaque to the scheduler; passed to the worker at each start.
    std::string payload;

    friend bool operator==(const task_spec&, const task_spec&) = default;
};

/// State of a task in its shard's record.
enum class task_state : std::uint8_t {
    queued,      ///< Accepted; not assigned to a VM.
    starting,    ///< A start on `vm` is committed; the agent has not confirmed it.
    running,     ///< The agent of `vm` reported the run.
    evicting,    ///< A stop with a checkpoint is committed; the end is not confirmed.
    cancelling,  ///< A cancellation of a started run is committed; the end is not confirmed.
    detached,    ///< Non-idempotent; its grant expired; waits for a report from the VM.
    succeeded,   ///< Final; `outcome` holds the result.
    failed,      ///< Final; the task has failed and may not be attempted again.
    cancelled,   ///< Final; no run executes, and the work is not complete.
    interrupted, ///< Final; non-idempotent, and how far the last run came is unknown.
    parked       ///< Final unless an operator resumes it: fails on all VMs or fits none.
};

inline constexpr std::array<enum_name<task_state>, 11> task_state_names{
    {{task_state::queued, "queued"},
     {task_state::starting, "starting"},
     {task_state::running, "running"},
     {task_state::evicting, "evicting"},
     {task_state::cancelling, "cancelling"},
     {task_state::detached, "detached"},
     {task_state::succeeded, "succeeded"},
     {task_state::failed, "failed"},
     {task_state::cancelled, "cancelled"},
     {task_state::interrupted, "interrupted"},
     {task_state::parked, "parked"}}};

/// Whether the task will not run again unless an operator resumes it. Thread-safe.
constexpr bool is_final(task_state state) {
    return state == task_state::succeeded || state == task_state::failed ||
           state == task_state::cancelled || state == task_state::interrupted ||
           state == task_state::parked;
}

/// Whether a run may exist on the record's VM. Thread-safe.
constexpr bool may_be_running(task_state state) {
    return state == task_state::starting || state == task_state::running ||
           state == task_state::evicting || state == task_state::cancelling ||
           state == task_state::detached;
}

/// A task as committed in its shard's record.
struct task_record {
    task_spec spec;
    task_state state{task_state::queued};
    attempt_number attempt{0};
    /// VM, agent incarnation and worker boot of the current or last attempt.
    vm_name vm;
    incarnation_number incarnation{0};
    std::string worker_boot;
    /// Checkpoint from which the next attempt resumes; empty: from the beginning.
    std::string checkpoint;
    /// Attempts that ended with a failure of the task.
    std::uint32_t failures{0};
    /// Attempts that ended with an eviction.
    std::uint32_t evictions{0};
    /// Result of a succeeded task, or the reason for another final state.
    std::string outcome;
    /// Wall-clock time of acceptance in milliseconds since 1970; used only for ageing and reports.
    std::int64_t accepted_at_ms{0};
    /// Wall-clock time of the final state in milliseconds since 1970; zero when the task is not
    /// final, is parked, or finished while the time was not known.
    std::int64_t finished_at_ms{0};

    friend bool operator==(const task_record&, const task_record&) = default;
};

/// Phase of a run on its worker.
enum class run_phase : std::uint8_t {
    starting, ///< The agent has reserved resources; the worker has not confirmed the start.
    running,
    suspended,     ///< Checkpointed and not executing; may resume on the same worker.
    succeeded,     ///< Ended; `detail` is the result.
    failed,        ///< Ended with a failure of the task; `detail` is the reason.
    checkpointed,  ///< Ended by an eviction; `checkpoint` was taken at the confirmed stop.
    stopped,       ///< Ended by a stop without a checkpoint.
    lease_expired, ///< Ended by the worker because its lease expired.
    refused        ///< Never started; the agent refuses any duplicate of the start command as well.
};

inline constexpr std::array<enum_name<run_phase>, 9> run_phase_names{
    {{run_phase::starting, "starting"},
     {run_phase::running, "running"},
     {run_phase::suspended, "suspended"},
     {run_phase::succeeded, "succeeded"},
     {run_phase::failed, "failed"},
     {run_phase::checkpointed, "checkpointed"},
     {run_phase::stopped, "stopped"},
     {run_phase::lease_expired, "lease_expired"},
     {run_phase::refused, "refused"}}};

/// Whether the run will never execute again. Thread-safe.
constexpr bool has_ended(run_phase phase) {
    return phase != run_phase::starting && phase != run_phase::running &&
           phase != run_phase::suspended;
}

/// A run as an agent reports it.
struct run_report {
    task_run run;
    shard_number shard{0};
    run_phase phase{run_phase::starting};
    /// Latest checkpoint; empty when there is none.
    std::string checkpoint;
    /// Result or reason; see `run_phase`.
    std::string detail;

    friend bool operator==(const run_report&, const run_report&) = default;
};

} // namespace egretstile
