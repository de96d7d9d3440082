#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <optional>

namespace egretstile {

/// Bounds the lease that calls meant for former processes of a runner may give to its present one.
/// A call without an answer may be carried out seconds later, by whichever process is up then, and
/// its end of the lease is a time on the former process's clock. Once the present process has
/// carried out a call with a higher fence, it does nothing for them. Not thread-safe. Precondition
/// of all methods: `now` does not decrease between calls.
class late_lease_bound {
public:
    /// `late_call_limit`: how long after it was sent a call may be carried out. `longest_lease`:
    /// time on this VM's clock within which all tasks under the longest lease have ended.
    /// `former_calls_until`: until when another process of the agent may have sent calls.
    late_lease_bound(milliseconds late_call_limit, milliseconds longest_lease,
                     std::optional<boot_time> former_calls_until)
        : late_call_limit_(late_call_limit)
        , longest_lease_(longest_lease)
        , sent_at_(former_calls_until) {}

    /// Records that a call with a lease is sent to the present process.
    void lease_sent(boot_time now) { sent_at_ = now; }

    /// Records that another process of the runner is the present one.
    void process_replaced();

    /// Records that the present process has carried out a call whose fence is above those of all
    /// calls to former processes; `now` is when its answer was read.
    void fence_confirmed(boot_time now);

    /// When all tasks under such a lease have certainly ended; zero when there is none.
    boot_time ends_at() const;

private:
    milliseconds late_call_limit_;
    milliseconds longest_lease_;
    /// When the latest call with a lease was sent to the present process, and to a former one.
    std::optional<boot_time> sent_at_;
    std::optional<boot_time> former_sent_at_;
    /// When the present process first answered a call that shuts out the former ones.
    std::optional<boot_time> confirmed_at_;
};

} // namespace egretstile
