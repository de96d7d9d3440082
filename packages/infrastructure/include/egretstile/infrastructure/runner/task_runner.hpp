#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::infrastructure {

/// Why a runner did not do what it was told.
enum class runner_refusal : std::uint8_t {
    fenced,      ///< It has seen a higher epoch.
    old_run,     ///< The run, or a later one, was there and has ended or been stopped.
    too_late,    ///< The lease of the start has ended.
    no_room,     ///< It does not fit.
    no_ticket,   ///< The advisor's permission is missing or has expired.
    other_life,  ///< Another life of the runner was meant.
    unhealthy,   ///< It takes nothing now.
    invalid,     ///< The call is not understood.
    not_running, ///< Nothing listens at the runner's address: it has ended.
    not_sent,    ///< The call did not reach the runner.
    no_answer    ///< The call may have been carried out, or will be.
};

inline constexpr std::array<enum_name<runner_refusal>, 11> runner_refusal_names{
    {{runner_refusal::fenced, "fenced"},
     {runner_refusal::old_run, "old_run"},
     {runner_refusal::too_late, "too_late"},
     {runner_refusal::no_room, "no_room"},
     {runner_refusal::no_ticket, "no_ticket"},
     {runner_refusal::other_life, "other_life"},
     {runner_refusal::unhealthy, "unhealthy"},
     {runner_refusal::invalid, "invalid"},
     {runner_refusal::not_running, "not_running"},
     {runner_refusal::not_sent, "not_sent"},
     {runner_refusal::no_answer, "no_answer"}}};

struct runner_done {
    /// The runner's clock when it answered.
    std::int64_t clock_ms{0};
};

/// Everything that a runner holds.
struct runner_lists {
    std::int64_t clock_ms{0};
    /// Wall-clock start of the runner's present life.
    std::int64_t born_ms{0};
    std::vector<active_run> active;
    /// Ends that have not been acknowledged; the runner gives a bounded number at a time.
    std::vector<ended_run> ended;
};

struct task_start {
    task_attempt run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    /// On the runner's clock; holds for all that runs there.
    std::int64_t lease_until_ms{0};
    /// Name of the runner that is meant.
    std::string runner_id;
};

struct lease_renewal {
    /// On the runner's clock; zero: the lease is not extended.
    std::int64_t lease_until_ms{0};
    std::uint64_t acknowledged_ends{0};
    /// How long the answer may wait for an end.
    milliseconds wait{0};
};

/// The task runner of this VM. Calls carry the leader's epoch; the runner does nothing for a lower
/// one than it has seen. Each callback is called once, on the event loop's thread.
class task_runner {
public:
    using done_callback = std::function<void(std::variant<runner_done, runner_refusal>&&)>;
    using lists_callback = std::function<void(std::variant<runner_lists, runner_refusal>&&)>;

    task_runner() = default;
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;
    task_runner(task_runner&&) = delete;
    task_runner& operator=(task_runner&&) = delete;
    virtual ~task_runner() = default;

    virtual void start(const task_start& start, epoch_number epoch, done_callback done) = 0;
    virtual void stop(const task_attempt& run, epoch_number epoch, done_callback done) = 0;
    /// Renews the lease of all that runs and reads the lists.
    virtual void renew(const lease_renewal& renewal, epoch_number epoch, lists_callback done) = 0;
    /// Lets the run work at `percent` of its speed.
    virtual void throttle(const task_attempt& run, std::uint32_t percent, epoch_number epoch,
                          done_callback done) = 0;
};

} // namespace egretstile::infrastructure
