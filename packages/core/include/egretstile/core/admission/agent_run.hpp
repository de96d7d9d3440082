#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/admission/worker_action.hpp>
#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace egretstile {

/// How an owner wants a run to end. A later value takes precedence over an earlier one.
enum class stop_request : std::uint8_t { none, with_checkpoint, without_checkpoint };

/// The agent's record of one run. `first_heartbeat` of the factory functions is the sequence number
/// of the first heartbeat that lists the run. Not thread-safe.
class agent_run {
public:
    /// A start that the agent refused.
    static agent_run refused(const task_run& run, shard_number shard, refusal reason,
                             std::uint64_t first_heartbeat);
    /// A start that the agent admits with `call`.
    static agent_run admitted(const worker_start& call, std::uint64_t first_heartbeat);
    /// A run that the worker lists and that this agent has no record of, for example because an
    /// earlier agent started it. Its current lease is its grant.
    static agent_run adopted(const worker_run& listed_run, std::uint64_t first_heartbeat,
                             boot_time now);

    const run_report& report() const { return report_; }

    refusal reason() const { return reason_; }

    bool ended() const { return has_ended(report_.phase); }

    /// Capacity of the VM that is reserved for the run; zero once it has ended.
    resources reserved() const { return ended() ? resources{} : need_; }

    /// Whether the heartbeat with this sequence number listed the run. A lower number than that of
    /// the first heartbeat means that it did not.
    bool reported_in(std::uint64_t heartbeat) const { return first_heartbeat_ <= heartbeat; }

    /// Ignored when `until` is not later than the current end, when the run has ended and when a
    /// stop was requested.
    void extend_grant(boot_time until);
    /// A stop without a checkpoint replaces one with a checkpoint, but not the other way round.
    void request_stop(stop_request request);
    /// Records that the owner has committed the end of the run. Ignored unless the run has ended.
    void acknowledge();

    /// Whether the end is acknowledged and the worker no longer lists the run, so that there is
    /// nothing left to report and no call left to make.
    bool can_retire() const { return acknowledged_ && !on_worker_; }

    /// Records the result of the start call.
    void start_finished(call_result result, boot_time now);

    /// Applies an entry of the worker's list, the answer to a status call sent at `sent_at`.
    void observe_listed(const worker_run& listed_run, boot_time sent_at, boot_time now);
    /// Handles a list without this run, the answer to a status call sent at `sent_at`.
    void observe_unlisted(boot_time sent_at, boot_time now);
    /// Ends the run because the worker has restarted without it.
    void worker_restarted(boot_time now);

    /// Returns the call that is due, if any, and marks it as in flight until `action_finished`.
    /// After a call that was refused or not answered, no call is due for half a heartbeat interval.
    std::optional<worker_action> begin_due_action(const lease_terms& terms, boot_time now);
    void action_finished(const worker_action& action, call_result result,
                         const std::string& checkpoint, const lease_terms& terms, boot_time now);

private:
    /// Whether the answer to a status call sent at `sent_at` may be older than the last change of
    /// the phase.
    bool may_predate_phase_change(boot_time sent_at) const;
    std::optional<worker_action_kind> due_kind(const lease_terms& terms, boot_time now) const;
    void apply_action(const worker_action& action, const std::string& checkpoint);
    void end(run_phase phase, const std::string& detail, boot_time now);
    void update_checkpoint(const std::string& checkpoint);

    run_report report_;
    resources need_;
    refusal reason_{refusal::none};
    std::uint64_t first_heartbeat_{0};
    boot_time grant_until_{};
    /// End of the latest lease that the worker has confirmed or reported; for a run that is
    /// starting, the lease in the start call.
    boot_time lease_until_{};
    /// The worker refuses the start call after this time.
    boot_time start_before_{};
    stop_request requested_stop_{stop_request::none};
    bool acknowledged_{false};
    /// Whether the worker has the run in its list, as far as the agent knows.
    bool on_worker_{false};
    std::optional<worker_action_kind> in_flight_;
    /// When the last call or status that may have changed the phase was finished.
    boot_time phase_changed_at_{};
    boot_time retry_not_before_{};
};

} // namespace egretstile
