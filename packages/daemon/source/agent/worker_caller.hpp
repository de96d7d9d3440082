#pragma once

#include "net/blocking_pool.hpp"

#include <egretstile/core/admission/admission_controller.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/infrastructure/worker/worker.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::daemon {

/// Makes the worker calls that admission asks for and gives it the results. For the event loop's
/// thread only. Renewals have a thread of their own, so that a slow start does not let leases run
/// out.
class worker_caller {
public:
    /// `on_started` follows each finished start call.
    worker_caller(event_loop& loop, infrastructure::worker& target, incarnation_number incarnation,
                  admission_controller& admission,
                  std::function<void(const task_run&, call_result)> on_started);

    /// Reads the worker's status unless a read is in progress.
    void poll_status();
    void start(const worker_start& call);
    /// Limits the run's processor share; a lost call is repeated by the owner.
    void throttle(const task_run& run, std::uint32_t cpu_percent);
    /// Makes all calls that are due.
    void make_due_calls(boot_time now);

    /// Last status; empty before the first.
    const worker_status& last_status() const { return status_; }

    bool reachable() const { return reachable_; }

    /// Whether the worker has answered no status call for so long that its runs must be taken for
    /// unknown.
    bool silent(boot_time now) const;

    std::size_t starts_in_flight() const { return starts_in_flight_; }

private:
    void renew(const std::vector<worker_action>& actions);
    void act(const worker_action& action);
    infrastructure::worker_result<std::string> act_blocking(const worker_action& action);
    void finish(const worker_action& action, call_result result, const std::string& checkpoint);

    event_loop& loop_;
    infrastructure::worker& worker_;
    incarnation_number incarnation_;
    admission_controller& admission_;
    std::function<void(const task_run&, call_result)> on_started_;
    worker_status status_;
    bool reachable_{false};
    boot_time answered_at_{};
    bool status_in_flight_{false};
    std::size_t starts_in_flight_{0};
    blocking_pool renewals_{1};
    blocking_pool status_calls_{1};
    blocking_pool calls_{2};
};

} // namespace egretstile::daemon
