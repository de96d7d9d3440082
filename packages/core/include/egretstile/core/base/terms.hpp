#pragma once

#include <egretstile/core/base/boot_time.hpp>

namespace egretstile {

/// Durations on which the lease protocol rests. All processes of a deployment use the same values.
struct lease_terms {
    milliseconds heartbeat_interval{500};
    /// Time to live of an entry's session lease at the key-value service.
    milliseconds session_ttl{4000};
    /// How long a confirmation proves ownership, from when its call was sent.
    milliseconds ownership_term{5000};
    /// How long a grant lets a task run, from when the agent sent the heartbeat.
    milliseconds grant_term{5000};
    /// Before the grant's end the agent checkpoints and suspends the task.
    milliseconds suspend_margin{1500};
    /// Oldest confirmation of the plan with which a task may start.
    milliseconds plan_freshness_bound{3000};
    /// After the confirmation of the plan the worker refuses a start later than this.
    milliseconds start_before_bound{3500};
    /// A detached task ends as interrupted after this time.
    milliseconds abandon_after{600000};
};

/// `term` lengthened by 1% and 200 ms: covers clock rates that differ and scheduling delay. Used by
/// the side that waits for the other side's term to end. Thread-safe.
constexpr milliseconds with_clock_margin(milliseconds term) {
    constexpr milliseconds fixed_margin{200};
    return term + term / 100 + fixed_margin;
}

} // namespace egretstile
