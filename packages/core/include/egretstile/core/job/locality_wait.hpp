#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

struct locality_settings {
    /// Factor by which a task takes longer away from the rack that holds its data; 1: tasks do not
    /// wait for a place on that rack.
    double remote_factor{1.0};
    /// Time that a task needs to resume from a checkpoint.
    milliseconds restore_time{0};
};

/// What is known about a waiting task when there is no place for it near its data, or when another
/// task may need that place more.
struct wait_case {
    /// Rack that holds the task's data.
    std::string rack;
    /// Tasks of a lower number come first.
    std::uint32_t priority{0};
    resources need;
    /// Expected run time near the data, and the factor by which it is longer at the best other
    /// place.
    milliseconds run_time{0};
    double remote_factor{1.0};
    /// Time to resume from the task's checkpoint; zero without one.
    milliseconds restore_time{0};
    /// Predicted time until a place near the data is free; nothing: never.
    std::optional<milliseconds> near_free_in;
    /// Time until the task must end for its job to meet its objective; negative when it cannot any
    /// more; nothing when the job has no objective.
    std::optional<milliseconds> due_in;
};

/// A task that waits for a place near its data, or has done so.
struct near_wait {
    boot_time since{};
    /// The task does not wait longer than this while there is a place elsewhere.
    boot_time until{};
    milliseconds longest{0};
    /// Predicted wait, and times until the end of the task after that wait and after a start
    /// elsewhere, as of `since`.
    milliseconds predicted{0};
    milliseconds near_end{0};
    milliseconds remote_end{0};
    /// What a place near the data is worth: whether the job meets its objective only there, and the
    /// run time that is saved there.
    std::pair<bool, milliseconds> benefit;
    std::uint32_t priority{0};
    resources need;
    /// The wait has ended without a place; the task starts where it can and does not wait again.
    bool over{false};
    /// The task was considered in the present pass.
    bool renewed{false};
};

/// How a wait ended.
enum class wait_end : std::uint8_t {
    near,   ///< The task started near its data.
    remote, ///< It started elsewhere.
    dropped ///< It does not wait any more for another reason, such as the end of its job.
};

enum class wait_verdict : std::uint8_t {
    start,  ///< The task should start elsewhere now.
    begins, ///< It should wait, and did not wait before.
    goes_on ///< It should wait further.
};

struct wait_totals {
    std::uint64_t begun{0};
    std::uint64_t ended_near{0};
    std::uint64_t ended_remote{0};
    std::uint64_t dropped{0};
    /// Sum of the times waited, for waits that have ended.
    boot_clock::duration waited{0};
};

/// Decides for tasks whose rack has no room whether they wait for it, by the expected times of
/// their ends there and elsewhere. Not thread-safe.
class locality_wait {
public:
    explicit locality_wait(const locality_settings& settings)
        : settings_(settings) {}

    bool is_enabled() const { return settings_.remote_factor > 1.0; }

    const locality_settings& settings() const { return settings_; }

    /// Begins a pass over the waiting tasks. Returns the waits of tasks that were not considered in
    /// the last pass, and drops them.
    std::vector<std::pair<task_ref, near_wait>> begin_pass(boot_time now);

    /// Whether the task waits for its rack. Precondition: `is_enabled()`.
    wait_verdict decide(const task_ref& task, const wait_case& known, boot_time now);

    /// Begins the task's wait anew when it has one, because no place elsewhere had room for it, so
    /// that it has lost nothing by waiting so far.
    void renew_without_alternative(const task_ref& task, const std::string& rack, boot_time now);

    /// Ends the task's wait, because it has started. Returns the wait; nothing when it did not
    /// wait.
    std::optional<near_wait> finish(const task_ref& task, const std::string& rack, wait_end end,
                                    boot_time now);

    /// The task's wait for the rack, also when it is over; null when there is none. The pointer is
    /// valid until the next call of a method that is not const.
    const near_wait* find(const task_ref& task, const std::string& rack) const;

    /// Number of tasks of no lower priority and no greater need that wait for the rack and to which
    /// a place there is worth more.
    std::size_t count_ahead(const task_ref& task, const wait_case& known) const;

    /// Whether a task waits for the rack.
    bool is_awaited(const std::string& rack) const;

    /// Racks that had no room for a task with data there within the last second.
    const std::set<std::string>& wanted_racks() const { return wanted_racks_; }

    const wait_totals& totals() const { return totals_; }

    /// Learned ratio of actual to predicted waits; 1 before the first wait has ended.
    double delay_ratio() const { return delay_ratio_; }

private:
    void learn_delay(const near_wait& ended, wait_end end, boot_time now);
    void count_end(const near_wait& ended, wait_end end, boot_time now);

    locality_settings settings_;
    /// Waits by rack and task.
    std::map<std::string, std::map<task_ref, near_wait>> waits_;
    std::map<std::string, boot_time> wanted_until_;
    std::set<std::string> wanted_racks_;
    wait_totals totals_;
    double delay_ratio_{1.0};
};

} // namespace egretstile
