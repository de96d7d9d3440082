#pragma once

#include <egretstile/core/base/boot_time.hpp>

namespace egretstile {

/// Durations of the lease protocol. All processes of a deployment must use the same values.
struct lease_terms {
    milliseconds heartbeat_interval{500};
    /// Time to live of an entry's session lease in the key-value store.
    milliseconds session_ttl{4000};
    /// How long a confirmation proves ownership of a shard, counted from when the call that
    /// returned it was sent.
    milliseconds ownership_term{5000};
    /// How long a grant allows a task to run, counted from when the agent sent the heartbeat that
    /// the grant answers.
    milliseconds grant_term{5000};
    /// How long before the end of the grant the agent checkpoints and suspends the task.
    milliseconds suspend_margin{1500};
    /// Largest age of the plan's last confirmation at which tasks may still be started. Entries and
    /// agents check it.
    milliseconds plan_freshness_bound{3000};
    /// The worker refuses a start later than this after the plan was confirmed to the agent.
    milliseconds start_before_bound{3500};
    /// How long a task stays detached, while its VM sends no reports, before it ends as
    /// interrupted.
    milliseconds abandon_after{600000};
};

/// Returns `term` plus 1% for differing clock rates and 200 ms for scheduling delay. The side that
/// waits for the end of the other side's term uses it. Thread-safe.
constexpr milliseconds with_clock_margin(milliseconds term) {
    constexpr milliseconds fixed_margin{200};
    return term + term / 100 + fixed_margin;
}

} // namespace egretstile
