#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace egretstile {

struct task_queue_settings {
    /// A normal task that has waited for so long has its turn between urgent ones.
    milliseconds ageing{30000};
    /// Urgent starts between two turns of aged tasks.
    std::uint32_t urgent_starts_per_aged{4};
};

/// What the queue needs of a waiting task.
struct queued_task {
    task_key key;
    std::string team;
    task_priority priority{task_priority::normal};
    resources need;
    boot_time queued_at;
};

/// Waiting tasks of one entry. Gives the order in which it tries to place them: urgent ones first,
/// older ones first; every few urgent starts the oldest aged normal task has a turn, so that a
/// stream of urgent tasks does not starve the rest. A team whose started tasks and next task
/// together exceed its quota is passed over. A team without a row in the plan has no quota. Not
/// thread-safe.
class task_queue {
public:
    explicit task_queue(const task_queue_settings& settings = {});

    /// Replaces the quotas of all teams.
    void set_quotas(const std::vector<team_plan>& teams);

    /// Adds a task; ignored when its key waits already.
    void add(const queued_task& task);

    /// The task was cancelled, parked or is no longer owned here.
    void remove(const task_key& key);

    /// The task was assigned to a VM; its need counts towards its team until `release`.
    void started(const task_key& key);

    /// A started task of the team has ended or was handed to another owner. Also corrects
    /// `set_running`; amounts do not go below zero.
    void release(const std::string& team, const resources& need);

    /// Replaces what each team holds with started tasks in the whole fleet.
    void set_running(const std::unordered_map<std::string, resources>& running);

    /// No VM holds the task now: it leaves the order until `until`, so that tasks that wait for a
    /// large VM do not take up the places of all others. Its place in the order stays its own.
    void postpone(const task_key& key, boot_time until);

    /// The next tasks to place, at most `limit`. The quota counts tasks earlier in the result.
    std::vector<task_key> order(std::size_t limit, boot_time now);

    bool contains(const task_key& key) const { return tasks_.count(key) > 0; }

    std::size_t size() const { return tasks_.size(); }

private:
    /// Time of queueing and a number that keeps the order of equal times.
    using position = std::pair<boot_time, std::uint64_t>;
    using line = std::map<position, task_key>;

    struct team_state {
        resources quota;
        bool has_quota{false};
        resources running;
        /// One line for each `task_priority`.
        std::array<line, task_priority_names.size()> lines;
    };

    /// Walks through the lines of one priority in order of time, over all teams.
    class cursor;

    struct task_place {
        queued_task task;
        position at;
        /// Set while the task is not in its line.
        std::optional<boot_time> postponed_until;
    };

    line& line_of(const queued_task& task);
    void end_postponements(boot_time now);

    task_queue_settings settings_;
    std::unordered_map<std::string, team_state> teams_;
    std::unordered_map<task_key, task_place> tasks_;
    std::set<std::pair<boot_time, task_key>> postponed_;
    std::uint64_t next_number_{0};
    std::uint32_t urgent_since_aged_{0};
};

} // namespace egretstile
