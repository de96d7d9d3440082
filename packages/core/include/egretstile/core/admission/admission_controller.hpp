#pragma once

#include <egretstile/core/admission/heartbeat_log.hpp>
#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/admission/run_table.hpp>
#include <egretstile/core/admission/worker_action.hpp>
#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/plan/plan_revision_tracker.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egretstile {

/// A request of an entry to start a run on this VM.
struct start_request {
    entry_id entry;
    shard_number shard{0};
    epoch_number epoch{0};
    task_spec spec;
    attempt_number attempt{0};
    incarnation_number incarnation{0};
    /// Last heartbeat that the entry answered. The start is valid for one grant term from the time
    /// at which the agent sent that heartbeat.
    std::uint64_t heartbeat_sequence{0};
    std::string checkpoint;
    /// Boot id of the worker in the owner's record of this attempt; may be empty. The owner ends
    /// the run when a heartbeat reports another boot id, so the run must not start on another boot.
    /// When the field is empty, the start is refused for this reason only if the heartbeat that it
    /// names reported an earlier boot id.
    std::string worker_boot;
};

/// The agent refuses the start and every duplicate of it.
struct start_refused {
    refusal reason{refusal::none};
};

/// The run exists already, or may exist. The answer to the entry is its report.
struct start_existing {
    run_report report;
};

/// Capacity is reserved. The caller must send `call` to the worker and then call
/// `start_finished` with the result.
struct start_admitted {
    worker_start call;
};

using start_decision = std::variant<start_refused, start_existing, start_admitted>;

/// Part of a heartbeat reply: the entry owns the shard with this epoch and lets the runs of the
/// shard continue.
struct grant {
    shard_number shard{0};
    epoch_number epoch{0};
};

/// The fields of a heartbeat reply that the admission controller uses.
struct owner_reply {
    entry_id entry;
    std::uint64_t sequence{0};
    bool plan_known{false};
    revision_number plan_revision{0};
    /// Time since the entry's last confirmation of the plan, when it sent the reply.
    milliseconds plan_age{0};
    bool domain_in_service{false};
    bool vm_drained{false};
    std::vector<grant> grants;
    /// Runs to stop without a checkpoint.
    std::vector<task_run> stop;
    /// Ended runs whose end the owner has committed.
    std::vector<task_run> acknowledged;
};

/// Decides for one VM which runs may start and which may continue. Capacity of the VM is reserved
/// only here. The class makes no calls: the agent makes them and passes their results back.
///
/// Rules:
/// - A start is admitted only after the first `worker_status_received`, and only while the last
///   confirmation of the plan is at most `plan_freshness_bound` old.
/// - The reserved capacity never exceeds the VM's capacity. It includes suspended runs and runs
///   whose start the worker has not confirmed, and is released only when the worker has confirmed
///   the end of the run.
/// - The grant of a run ends `grant_term` after the agent sent the latest heartbeat that listed the
///   run and whose reply granted its shard; for a new run, the heartbeat that its start names. A
///   lease given to the worker never ends later.
/// - A run is suspended `suspend_margin` before its grant ends, and resumed after a new grant.
/// - For each shard only the highest epoch received so far is valid. Starts with a lower epoch are
///   refused; grants and stops with a lower epoch are ignored.
///
/// Not thread-safe. Precondition: `now` does not decrease between calls.
class admission_controller {
public:
    admission_controller(incarnation_number incarnation, const lease_terms& terms);

    /// Applies the worker's complete list of runs, the answer to a status call that was sent at
    /// `sent_at`: phases, checkpoints and ends of runs. A listed run that this agent has no record
    /// of (after a restart of the agent) is adopted; its current lease is its grant.
    ///
    /// An admitted run that is missing from the list counts as refused only if the status call was
    /// sent after the start's `start_before`. Until then the start call may still reach the worker.
    ///
    /// When the boot id changes, runs that are missing from the list end as `lease_expired`. They
    /// are reported until acknowledged, so that a repeated start is not refused as if the run had
    /// never been started. A listed run continues, because its start reached the new boot.
    ///
    /// A status is ignored when its call was sent more than a grant term ago or before the call of
    /// the last status that was not ignored. When the worker has received calls from a later agent
    /// incarnation, the status is not applied and no more starts are admitted.
    void worker_status_received(const worker_status& status, boot_time sent_at, boot_time now);

    /// Whether `reports()` is complete and starts may be admitted. False before the first worker
    /// status was applied, and when the worker has received calls from a later agent incarnation.
    bool worker_known() const { return worker_known_; }

    /// Boot id to report in heartbeats; empty until the first worker status was applied.
    const std::string& worker_boot() const { return worker_boot_; }

    /// Decides on a start. When the run is in the table or was retired recently, the answer is its
    /// report, or the reason of its earlier refusal.
    ///
    /// A start for another agent incarnation is answered by `start_existing` with phase `starting`,
    /// and no record is kept. An earlier agent may have started the run on an earlier boot of the
    /// worker, so a refusal, which means that the run never started, could be false. The owner
    /// decides by the next heartbeat.
    ///
    /// A start is refused while another attempt of its task has not ended or when a later attempt
    /// is in the table. Earlier attempts are then stopped.
    start_decision request_start(const start_request& request, boot_time now);

    /// Records the result of the worker call of `start_admitted`. After `call_result::unknown` the
    /// capacity stays reserved and the run is reported as `starting` until a worker status shows
    /// whether the run exists.
    void start_finished(const task_run& run, call_result result, boot_time now);

    /// Requests the end of the run on behalf of the owner. Ignored when `epoch` is lower than the
    /// highest one of the shard, or when the table has no such run of the shard.
    void request_stop(shard_number shard, epoch_number epoch, const task_run& run,
                      bool take_checkpoint);

    /// Records a heartbeat to `entry` that is sent at `now` and returns its sequence number. The
    /// heartbeat must list `reports()`, with no other call of this class in between. The numbers
    /// increase for each entry, with gaps.
    std::uint64_t heartbeat_sent(const entry_id& entry, boot_time now);

    /// Reports of all runs that have not ended, and of ended and refused runs whose end is not yet
    /// acknowledged or which the worker still lists.
    std::vector<run_report> reports() const { return runs_.reports(); }

    /// Applies a heartbeat reply. Grants, stops and acknowledgements apply only to runs that the
    /// answered heartbeat listed and whose shard the reply grants with the highest epoch. A reply
    /// that arrives more than a grant term after its heartbeat was sent is ignored.
    void reply_received(const owner_reply& reply, boot_time now);

    /// Returns the worker calls that are due and marks them as in flight. No other call is returned
    /// for the same run until `action_finished`.
    std::vector<worker_action> begin_due_actions(boot_time now);

    /// Records the result of a call of `begin_due_actions`. `checkpoint` is the checkpoint that the
    /// worker returned for suspend and checkpoint_stop; empty for other calls.
    void action_finished(const worker_action& action, call_result result,
                         const std::string& checkpoint, boot_time now);

    /// While `draining` is set, because the agent or its upstream is stopping, every new start is
    /// refused.
    void set_draining(bool draining) { draining_ = draining; }

    bool draining() const { return draining_ || vm_drained_; }

    resources capacity() const { return capacity_; }

    resources reserved() const { return runs_.reserved(); }

    const plan_revision_tracker& plan() const { return plan_; }

private:
    /// Why the start must be refused at `now`; `none` when it may be admitted. Requests the stop of
    /// earlier attempts of the task.
    refusal refusal_reason(const start_request& request, boot_time now);
    /// The part of `refusal_reason` that does not depend on the request.
    refusal general_refusal_reason(boot_time now) const;
    /// Whether the start names another boot of the worker, or a heartbeat from before its current
    /// boot was observed.
    bool is_for_other_boot(const start_request& request) const;
    worker_start make_worker_start(const start_request& request, boot_time now) const;
    start_decision answer_repeated_start(const agent_run& run) const;
    /// Records `epoch` and returns whether no higher one of the shard was received. Zero, the epoch
    /// of a shard without an owner, is never accepted.
    bool accept_epoch(shard_number shard, epoch_number epoch);
    /// Requests the stop of earlier attempts of the task that have not ended. Returns whether any
    /// other attempt prevents the start of `run`.
    bool stop_earlier_attempts(const task_run& run);
    void update_plan(const owner_reply& reply, boot_time sent_at);
    void apply_run_decisions(const owner_reply& reply, const std::set<shard_number>& granted_shards,
                             boot_time sent_at);

    incarnation_number incarnation_;
    lease_terms terms_;
    heartbeat_log heartbeats_;
    run_table runs_;
    /// Highest epoch received of each shard.
    std::map<shard_number, epoch_number> epochs_;
    plan_revision_tracker plan_;
    bool domain_in_service_{false};
    bool vm_drained_{false};
    bool draining_{false};
    bool worker_known_{false};
    std::string worker_boot_;
    /// Heartbeats with a lower sequence number reported an earlier boot id.
    std::uint64_t first_heartbeat_of_boot_{0};
    /// When the call of the last status that was not ignored was sent.
    std::optional<boot_time> last_status_sent_at_;
    resources capacity_;
};

} // namespace egretstile
