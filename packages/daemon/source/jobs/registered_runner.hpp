#pragma once

#include <egretstile/infrastructure/runner/registration_protocol.hpp>
#include <egretstile/infrastructure/runner/task_runner.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// What a heartbeat says about the runner that is registered at an agent.
enum class heartbeat_verdict : std::uint8_t {
    stale,       ///< Sent before another heartbeat that has been taken; to be ignored.
    refreshed,   ///< A later heartbeat of the registered instance.
    unconfirmed, ///< Names another instance, which has not answered a call yet.
    replaced     ///< Names another instance, which answers calls; it is now the registered one.
};

/// What an answer from the runner's address says about the registered runner.
enum class answer_verdict : std::uint8_t {
    registered, ///< It comes from the registered instance.
    replaced,   ///< It comes from an instance that has sent a heartbeat and is now registered.
    unknown     ///< It comes from an instance that has not sent a heartbeat: no other one runs.
};

/// Identity of the runner instance that is registered at an agent, and the only place that decides
/// whether that instance has ended. Heartbeats and deregistrations are claims: they can be delayed
/// from an earlier instance or come from another writer. A claim is believed once a call to the
/// runner's address confirms it: an answer that names the instance, or a refused connection.
/// Without an answer, the end of the last lease shows it. For one thread only.
class registered_runner {
public:
    /// Empty until a runner has registered.
    const std::string& id() const { return registered_.runner_id; }

    /// The heartbeat with which the registered instance was taken, or its latest one.
    const infrastructure::runner_heartbeat& heartbeat() const { return registered_; }

    /// Whether a call to the runner's address is needed to decide about a claim.
    bool has_open_claim() const { return claimed_.has_value() || departure_claimed_; }

    /// Decides about a heartbeat. One of another instance is only remembered, unless that instance
    /// is the one that answers calls.
    heartbeat_verdict apply(const infrastructure::runner_heartbeat& heartbeat);

    /// Remembers a deregistration. False when it names another runner or another instance than the
    /// registered one; it is then ignored.
    bool apply_departure(const infrastructure::runner_deregistration& departure);

    /// Records an answer from the runner's address; `instance_start_ms` is the start time that it
    /// states, zero: none, which says nothing about the instance. Precondition: no later call has
    /// been answered before.
    answer_verdict observe_answer(std::int64_t instance_start_ms);

    /// Records a call to the runner's address that failed. Returns what shows that the registered
    /// instance has ended. `lease_ended` is whether all leases of its runs have certainly ended.
    runner_end_evidence observe_failure(infrastructure::runner_refusal refusal, bool lease_ended);

    /// Number of calls that have failed since the last answer.
    std::uint64_t consecutive_failures() const { return failures_; }

private:
    void take(const infrastructure::runner_heartbeat& heartbeat);

    infrastructure::runner_heartbeat registered_;
    /// The latest heartbeat of an instance that has not answered a call.
    std::optional<infrastructure::runner_heartbeat> claimed_;
    bool departure_claimed_{false};
    /// Start time in the latest answer; zero: there was none.
    std::int64_t answering_start_ms_{0};
    std::uint64_t failures_{0};
    std::uint64_t consecutive_refusals_{0};
};

} // namespace egretstile::daemon
