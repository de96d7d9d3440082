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

/// Makes the worker calls that the admission controller requests and passes their results to it.
/// Renewals have a thread of their own, so that leases do not expire behind a slow start call. For
/// the event loop's thread only.
class worker_caller {
public:
    /// `on_start_finished` is called after each start call, whatever its result, on the loop's
    /// thread.
    worker_caller(event_loop& loop, infrastructure::worker& target, incarnation_number incarnation,
                  admission_controller& admission,
                  std::function<void(const task_run&, call_result)> on_start_finished);

    /// Requests the worker's status unless a status call is in progress.
    void poll_status();
    void start(const worker_start& call);
    /// Limits the run's processor share, in percent. A failed call is not retried here: the owner
    /// of the run sends the limit again.
    void throttle(const task_run& run, std::uint32_t cpu_percent);
    /// Makes all calls that are due in the admission controller.
    void make_due_calls(boot_time now);

    /// Last status that the worker answered; empty before the first.
    const worker_status& last_status() const { return status_; }

    bool reachable() const { return reachable_; }

    /// Whether the worker has not answered a status call for so long that the state of its runs
    /// must be treated as unknown.
    bool unresponsive(boot_time now) const;

    std::size_t starts_in_flight() const { return starts_in_flight_; }

private:
    void renew(const std::vector<worker_action>& actions);
    void perform(const worker_action& action);
    infrastructure::worker_result<std::string> perform_blocking(const worker_action& action);
    void handle_result(const worker_action& action, call_result result,
                       const std::string& checkpoint);

    event_loop& loop_;
    infrastructure::worker& worker_;
    incarnation_number incarnation_;
    admission_controller& admission_;
    std::function<void(const task_run&, call_result)> on_start_finished_;
    worker_status status_;
    bool reachable_{false};
    boot_time last_answer_at_{};
    bool status_in_flight_{false};
    std::size_t starts_in_flight_{0};
    blocking_pool renewals_{1};
    blocking_pool status_calls_{1};
    blocking_pool calls_{2};
};

} // namespace egretstile::daemon
