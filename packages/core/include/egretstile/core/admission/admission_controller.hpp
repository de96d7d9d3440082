#pragma once

#include <egretstile/core/admission/heartbeat_log.hpp>
#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/admission/run_table.hpp>
#include <egretstile/core/admission/worker_action.hpp>
#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/base/terms.hpp>
#include <egretstile/core/plan/plan_view.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egretstile {

/// A start as it arrived from an entry.
struct start_request {
    entry_id entry;
    shard_number shard{0};
    epoch_number epoch{0};
    task_spec spec;
    attempt_number attempt{0};
    incarnation_number incarnation{0};
    /// Last heartbeat that the entry answered; the start is valid until that heartbeat was sent
    /// plus the grant term.
    std::uint64_t heartbeat_sequence{0};
    std::string checkpoint;
    /// Boot id of the worker in the owner's record of this attempt; empty when not told. The owner
    /// ends the run when it hears of another boot, so the run must not start on one. Without it
    /// only the named heartbeat shows that the owner may not know the present boot.
    std::string worker_boot;
};

/// The agent refuses the start and will refuse every duplicate of it.
struct start_refused {
    refusal reason{refusal::none};
};

/// The run is known already, or may exist; the answer is its report.
struct start_known {
    run_report report;
};

/// Capacity is reserved; the caller must call the worker and then `start_finished`.
struct start_admitted {
    worker_start call;
};

using start_decision = std::variant<start_refused, start_known, start_admitted>;

/// What an owner says about one of its shards in a heartbeat reply.
struct grant {
    shard_number shard{0};
    epoch_number epoch{0};
};

/// The parts of a heartbeat reply that admission needs.
struct owner_reply {
    entry_id entry;
    std::uint64_t sequence{0};
    bool plan_known{false};
    revision_number plan_revision{0};
    milliseconds plan_age{0};
    bool domain_in_service{false};
    bool vm_drained{false};
    std::vector<grant> grants;
    std::vector<task_run> stop;
    std::vector<task_run> acknowledged;
};

/// Decides for one VM what may start and what may go on. The only place where capacity of the VM
/// is reserved. Makes no calls; the agent makes them and gives back the results.
///
/// Rules:
/// - Nothing is admitted before `worker_observed` and a confirmed, fresh plan.
/// - Reserved capacity, suspended and unconfirmed runs included, never exceeds the VM's capacity;
///   capacity is released only when the worker has confirmed the end.
/// - A run has a grant that ends `grant_term` after the agent sent a heartbeat that listed the run
///   and whose reply granted its shard; a lease given to the worker never ends later.
/// - Before a grant ends, by `suspend_margin`, the run is suspended; it is resumed when granted.
/// - For each shard the highest epoch seen counts; lower ones are refused and their grants ignored.
///
/// Not thread-safe. `now` must not go back between calls.
class admission_controller {
public:
    admission_controller(incarnation_number incarnation, const lease_terms& terms);

    /// Takes the worker's whole list, the answer to a call that was sent at `sent_at`. Also run
    /// phases, checkpoints and ends come from here. A run that is listed but not known (after a
    /// restart of the agent) is taken over with the lease it has as its grant.
    ///
    /// An admitted run that is not listed was not started only if the status call was sent after
    /// the start's `start_before`; before that the start call may still arrive.
    ///
    /// A new boot id ends the runs that are not listed as `lease_expired`; they stay reported until
    /// acknowledged, so that a repeated start is not refused as one that never ran. A listed one
    /// goes on: its start reached the new worker.
    ///
    /// A status is ignored when it was sent before the last one or more than a grant term ago. When
    /// the worker has seen a later agent, nothing more is admitted.
    void worker_observed(const worker_status& status, boot_time sent_at, boot_time now);

    /// Whether `reports()` is complete and starts may be admitted; false until the first
    /// `worker_observed`.
    bool worker_known() const { return worker_known_; }

    /// Boot id to report; empty until the first `worker_observed`.
    const std::string& worker_boot() const { return worker_boot_; }

    /// A start that names another incarnation is answered as known with phase `starting` and is
    /// not kept: an earlier agent may have started the run on an earlier boot of the worker, so a
    /// refusal could be false. The owner decides by the next heartbeat.
    /// A start is refused while another attempt of its task has not ended or a later attempt is
    /// known; an earlier attempt is stopped then.
    start_decision request_start(const start_request& request, boot_time now);

    /// Result of the call of `start_admitted`. After `unknown` the run stays reserved and reported
    /// as starting until `worker_observed` decides.
    void start_finished(const task_run& run, call_result result, boot_time now);

    /// The owner asks for the end of the run; a lower epoch or an unknown run is ignored.
    void request_stop(shard_number shard, epoch_number epoch, const task_run& run,
                      bool take_checkpoint);

    /// Number for the next heartbeat to `entry`, sent at `now`; its runs are `reports()`, taken
    /// without another call of this class in between. Numbers rise for each entry, with gaps.
    std::uint64_t heartbeat_sent(const entry_id& entry, boot_time now);

    /// Reports of all runs: unfinished, ended and not acknowledged, and refused.
    std::vector<run_report> reports() const { return runs_.reports(); }

    /// Stops and acknowledgements count only for runs of shards that the reply grants with the
    /// highest epoch, and that the answered heartbeat listed. An answer that arrives more than a
    /// grant term after its heartbeat is ignored.
    void reply_received(const owner_reply& reply, boot_time now);

    /// Calls that are due. An action stays due, and is not given again, until `action_finished`.
    std::vector<worker_action> due_actions(boot_time now);

    /// `checkpoint` is the answer of suspend and checkpoint_stop.
    void action_finished(const worker_action& action, call_result result,
                         const std::string& checkpoint, boot_time now);

    /// The agent or its upstream is stopping: nothing more is admitted.
    void set_draining(bool draining) { draining_ = draining; }

    bool draining() const { return draining_ || vm_drained_; }

    resources capacity() const { return capacity_; }

    resources reserved() const { return runs_.reserved(); }

    const plan_view& plan() const { return plan_; }

private:
    /// Why the start must be refused at `now`; none when it may be admitted.
    refusal why_refused(const start_request& request, boot_time now);
    refusal why_not_now(boot_time now) const;
    bool is_for_other_boot(const start_request& request) const;
    worker_start make_call(const start_request& request, boot_time now) const;
    start_decision answer_known(const agent_run& run) const;
    /// Whether `epoch` is at least the highest seen of the shard; remembers it.
    bool accept_epoch(shard_number shard, epoch_number epoch);
    bool has_conflicting_attempt(const task_run& run);
    void take_plan(const owner_reply& reply, boot_time sent_at);
    void take_answer(const owner_reply& reply, const std::set<shard_number>& granted_shards,
                     boot_time sent_at);

    incarnation_number incarnation_;
    lease_terms terms_;
    heartbeat_log heartbeats_;
    run_table runs_;
    std::map<shard_number, epoch_number> epochs_;
    plan_view plan_;
    bool domain_in_service_{false};
    bool vm_drained_{false};
    bool draining_{false};
    bool worker_known_{false};
    std::string worker_boot_;
    /// Heartbeats with a lower sequence number reported an earlier boot.
    std::uint64_t first_heartbeat_of_boot_{0};
    std::optional<boot_time> observed_sent_at_;
    resources capacity_;
};

} // namespace egretstile
