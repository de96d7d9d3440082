#pragma once

#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::infrastructure {

/// Why a call to the worker has no result.
enum class worker_error : std::uint8_t {
    unavailable, ///< Nothing was sent: the call had no effect.
    refused,     ///< The worker responded that it did not carry out the call.
    no_answer    ///< Sent, but no response arrived: the call may have taken effect.
};

inline constexpr std::array<enum_name<worker_error>, 3> worker_error_names{
    {{worker_error::unavailable, "unavailable"},
     {worker_error::refused, "refused"},
     {worker_error::no_answer, "no_answer"}}};

template <typename Result>
using worker_result = std::variant<Result, worker_error>;

/// Blocking interface of the platform's worker on the agent's VM. Every call carries the agent's
/// incarnation; the worker refuses one lower than the highest it has seen. Implementations are
/// thread-safe. Calls block until the response arrives or the implementation's timeout has passed.
class worker {
public:
    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;
    virtual ~worker() = default;

    /// Reads the worker's state. Also makes the worker refuse lower incarnations from now on.
    virtual worker_result<worker_status> status(incarnation_number incarnation) = 0;
    /// Starts a run. Idempotent for the same run. `worker_error::refused` means that the run does
    /// not exist and was not started.
    virtual worker_result<std::monostate> start(incarnation_number incarnation,
                                                const worker_start& start) = 0;
    virtual worker_result<std::monostate> renew(incarnation_number incarnation,
                                                const std::vector<worker_renewal>& renewals) = 0;
    /// Takes a checkpoint and returns it; the run continues.
    virtual worker_result<std::string> checkpoint(incarnation_number incarnation,
                                                  const task_run& run) = 0;
    /// Takes a checkpoint and pauses the run; an expired lease no longer ends it.
    virtual worker_result<std::string> suspend(incarnation_number incarnation,
                                               const task_run& run) = 0;
    virtual worker_result<std::monostate> resume(incarnation_number incarnation,
                                                 const task_run& run, boot_time lease_until) = 0;
    /// Limits the run's processor share; 100 removes the limit.
    virtual worker_result<std::monostate>
    throttle(incarnation_number incarnation, const task_run& run, std::uint32_t cpu_percent) = 0;
    /// Ends the run. With `take_checkpoint` returns the checkpoint taken at the end, else "".
    virtual worker_result<std::string> stop(incarnation_number incarnation, const task_run& run,
                                            bool take_checkpoint) = 0;
    /// Removes an ended run from the worker's list.
    virtual worker_result<std::monostate> forget(incarnation_number incarnation,
                                                 const task_run& run) = 0;
};

} // namespace egretstile::infrastructure
