#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/runner_fence.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::infrastructure {

/// Why a call to the runner failed.
enum class runner_refusal : std::uint8_t {
    fenced,    ///< The runner has seen a call with a higher fence.
    old_run,   ///< This run or a later one of the task has already ended or been stopped there.
    too_late,  ///< The lease given with the start has expired.
    no_room,   ///< The runner lacks the resources for the run.
    no_ticket, ///< The advisor's permission is missing or has expired.
    other_instance, ///< The call was meant for another instance of the runner.
    unhealthy,      ///< The runner accepts no calls at the moment.
    invalid,        ///< The runner rejected the call as malformed or unknown.
    not_running,    ///< Nothing listens at the runner's address: the runner has stopped.
    not_sent,       ///< The call did not reach the runner.
    no_answer       ///< The call may have been carried out or may be carried out later.
};

inline constexpr std::array<enum_name<runner_refusal>, 11> runner_refusal_names{
    {{runner_refusal::fenced, "fenced"},
     {runner_refusal::old_run, "old_run"},
     {runner_refusal::too_late, "too_late"},
     {runner_refusal::no_room, "no_room"},
     {runner_refusal::no_ticket, "no_ticket"},
     {runner_refusal::other_instance, "other_life"},
     {runner_refusal::unhealthy, "unhealthy"},
     {runner_refusal::invalid, "invalid"},
     {runner_refusal::not_running, "not_running"},
     {runner_refusal::not_sent, "not_sent"},
     {runner_refusal::no_answer, "no_answer"}}};

/// The runner carried out the call.
struct runner_confirmation {
    /// The runner's clock, in milliseconds, when it responded.
    std::int64_t clock_ms{0};
};

/// A runner's answer to a renewal.
struct runner_lists {
    /// Wall-clock time at which the current instance of the runner started, in milliseconds; zero:
    /// the answer does not state it.
    std::int64_t instance_start_ms{0};
    run_lists runs;
};

struct task_start {
    task_attempt run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    /// On the runner's clock, in milliseconds; applies to all runs of the runner.
    std::int64_t lease_until_ms{0};
    /// Id of the runner that must carry out the start; another one refuses it.
    std::string runner_id;
};

struct lease_renewal {
    /// On the runner's clock, in milliseconds; zero: the lease is not extended.
    std::int64_t lease_until_ms{0};
    /// Ends up to this number are stored; the runner may drop them.
    std::uint64_t acknowledged_ends{0};
    /// How long the runner may delay its response until a run ends.
    milliseconds wait{0};
};

/// Asynchronous interface of the task runner of this VM. Calls carry a fence; the runner does
/// nothing for a call whose fence is lower than the highest that its process has seen. Each
/// callback is called once, on the event loop's thread.
class task_runner {
public:
    using done_callback = std::function<void(std::variant<runner_confirmation, runner_refusal>&&)>;
    using lists_callback = std::function<void(std::variant<runner_lists, runner_refusal>&&)>;

    task_runner() = default;
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;
    task_runner(task_runner&&) = delete;
    task_runner& operator=(task_runner&&) = delete;
    virtual ~task_runner() = default;

    virtual void start(const task_start& start, const runner_fence& fence, done_callback done) = 0;
    virtual void stop(const task_attempt& run, const runner_fence& fence, done_callback done) = 0;
    /// Renews the lease of all runs and reads the lists of active and ended runs.
    virtual void renew(const lease_renewal& renewal, const runner_fence& fence,
                       lists_callback done) = 0;
    /// Limits the run to `percent` of its full speed.
    virtual void throttle(const task_attempt& run, std::uint32_t percent, const runner_fence& fence,
                          done_callback done) = 0;
};

} // namespace egretstile::infrastructure
