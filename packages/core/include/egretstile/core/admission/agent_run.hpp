#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/admission/worker_action.hpp>
#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/base/terms.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace egretstile {

/// How an owner wants a run to end.
enum class stop_request : std::uint8_t { none, with_checkpoint, without_checkpoint };

/// One run as the agent knows it. Not thread-safe.
class agent_run {
public:
    /// A start that the agent refused.
    static agent_run refused(const task_run& run, shard_number shard, refusal reason,
                             std::uint64_t first_heartbeat);
    /// A start that the agent admits with `call`.
    static agent_run admitted(const worker_start& call, std::uint64_t first_heartbeat);
    /// A run that the worker lists and the agent did not start; its lease is its grant.
    static agent_run taken_over(const worker_run& seen, std::uint64_t first_heartbeat,
                                boot_time now);

    const run_report& report() const { return report_; }

    refusal reason() const { return reason_; }

    bool ended() const { return has_ended(report_.phase); }

    /// What the run holds of the VM's capacity; nothing once it has ended.
    resources reserved() const { return ended() ? resources{} : need_; }

    /// Whether the heartbeat with that sequence number listed the run.
    bool listed_in(std::uint64_t heartbeat) const { return first_heartbeat_ <= heartbeat; }

    void extend_grant(boot_time until);
    /// A stop without a checkpoint replaces one with a checkpoint, not the reverse.
    void request_stop(stop_request request);
    /// The owner has committed the end. Ignored unless the run has ended.
    void acknowledge();

    /// Whether nothing about the run is left to report or to do.
    bool finished() const { return acknowledged_ && !on_worker_; }

    void start_finished(call_result result, boot_time now);

    /// The worker lists the run, in the answer to a call sent at `sent_at`.
    void listed(const worker_run& seen, boot_time sent_at, boot_time now);
    /// The worker does not list the run.
    void unlisted(boot_time sent_at, boot_time now);
    /// The worker has restarted: nothing of the run is on it any more.
    void lost(boot_time now);

    /// The call that is due, if any; it counts as being made until `action_finished`.
    std::optional<worker_action> take_due_action(const lease_terms& terms, boot_time now);
    void action_finished(const worker_action& action, call_result result,
                         const std::string& checkpoint, const lease_terms& terms, boot_time now);

private:
    /// Whether a status requested at `sent_at` may not show the last change of the phase.
    bool may_predate_change(boot_time sent_at) const;
    std::optional<worker_action_kind> due_kind(const lease_terms& terms, boot_time now) const;
    void action_done(const worker_action& action, const std::string& checkpoint);
    void end(run_phase phase, const std::string& detail, boot_time now);
    void keep_checkpoint(const std::string& checkpoint);

    run_report report_;
    resources need_;
    refusal reason_{refusal::none};
    std::uint64_t first_heartbeat_{0};
    boot_time grant_until_{};
    /// End of the lease that the worker is known to have given.
    boot_time lease_until_{};
    boot_time start_before_{};
    stop_request stop_{stop_request::none};
    bool acknowledged_{false};
    bool on_worker_{false};
    std::optional<worker_action_kind> in_flight_;
    /// End of the last call or status that changed the phase.
    boot_time changed_at_{};
    boot_time retry_at_{};
};

} // namespace egretstile
