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
    refused,     ///< The worker answered that it did not do it.
    no_answer    ///< Sent without an answer: it may have taken effect.
};

inline constexpr std::array<enum_name<worker_error>, 3> worker_error_names{
    {{worker_error::unavailable, "unavailable"},
     {worker_error::refused, "refused"},
     {worker_error::no_answer, "no_answer"}}};

template <typename Result>
using worker_result = std::variant<Result, worker_error>;

/// The platform's worker on the agent's VM. Every call names the agent's incarnation; the worker
/// refuses one lower than the highest it has seen. Implementations are thread-safe. Calls block
/// until the answer or the implementation's timeout.
class worker {
public:
    worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    worker(worker&&) = delete;
    worker& operator=(worker&&) = delete;
    virtual ~worker() = default;

    /// Also makes the worker refuse lower incarnations from now on.
    virtual worker_result<worker_status> status(incarnation_number incarnation) = 0;
    /// Idempotent for the same run. `refused`: the run does not exist and was not started.
    virtual worker_result<std::monostate> start(incarnation_number incarnation,
                                                const worker_start& start) = 0;
    virtual worker_result<std::monostate> renew(incarnation_number incarnation,
                                                const std::vector<worker_renewal>& renewals) = 0;
    /// Gives the checkpoint; the run goes on.
    virtual worker_result<std::string> checkpoint(incarnation_number incarnation,
                                                  const task_run& run) = 0;
    /// Takes a checkpoint and stops executing; the lease no longer ends the run.
    virtual worker_result<std::string> suspend(incarnation_number incarnation,
                                               const task_run& run) = 0;
    virtual worker_result<std::monostate> resume(incarnation_number incarnation,
                                                 const task_run& run, boot_time lease_until) = 0;
    /// Limits the run's processor share; 100 removes the limit.
    virtual worker_result<std::monostate>
    throttle(incarnation_number incarnation, const task_run& run, std::uint32_t cpu_percent) = 0;
    /// Ends the run; with `take_checkpoint` gives the checkpoint taken at the end, else "".
    virtual worker_result<std::string> stop(incarnation_number incarnation, const task_run& run,
                                            bool take_checkpoint) = 0;
    /// Drops an ended run from the list.
    virtual worker_result<std::monostate> forget(incarnation_number incarnation,
                                                 const task_run& run) = 0;
};

} // namespace egretstile::infrastructure
