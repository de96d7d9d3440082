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
    /// A normal task that has waited this long is aged: it is placed between urgent tasks.
    milliseconds ageing{30000};
    /// Number of urgent tasks that are started between two aged tasks.
    std::uint32_t urgent_starts_per_aged{4};
};

/// Properties of a waiting task that the queue uses.
struct queued_task {
    task_key key;
    std::string team;
    task_priority priority{task_priority::normal};
    resources need;
    boot_time queued_at;
};

/// Waiting tasks of one entry, in the order in which the entry tries to place them: urgent tasks
/// before normal ones, and older tasks before newer ones of the same priority. After
/// `urgent_starts_per_aged` urgent starts the oldest aged normal task is next, so that a stream of
/// urgent tasks does not starve normal ones. A team is skipped while its started tasks and its next
/// task together exceed its quota. A team without a row in the plan has no quota. Not thread-safe.
class task_queue {
public:
    explicit task_queue(const task_queue_settings& settings = {});

    /// Replaces the quotas of all teams.
    void set_quotas(const std::vector<team_plan>& teams);

    /// Adds a task. Does nothing when a task with the same key is already waiting.
    void add(const queued_task& task);

    /// Removes a task that was cancelled or parked, or that another entry owns now. Does nothing
    /// when the key is not waiting.
    void remove(const task_key& key);

    /// Removes a task that was assigned to a VM. Its need counts towards the quota of its team
    /// until `release`. Does nothing when the key is not waiting.
    void record_start(const task_key& key);

    /// Subtracts the need of a started task that has ended or passed to another owner, also from
    /// the amounts that `set_running` set. Amounts do not become negative.
    void release(const std::string& team, const resources& need);

    /// Replaces the amounts that the started tasks of each team use in the whole fleet.
    void set_running(const std::unordered_map<std::string, resources>& running);

    /// Excludes a task for which no VM has room from `order` until `until`, so that tasks that wait
    /// for a large VM do not fill the limited result. The task keeps its position in the queue.
    /// Does nothing when the key is not waiting or is already postponed.
    void postpone(const task_key& key, boot_time until);

    /// Returns the next tasks to place, at most `limit`. Tasks earlier in the result count towards
    /// the quota.
    std::vector<task_key> order(std::size_t limit, boot_time now);

    bool contains(const task_key& key) const { return tasks_.count(key) > 0; }

    std::size_t size() const { return tasks_.size(); }

private:
    /// Time when the task was queued, and a sequence number that orders tasks with equal times.
    using position = std::pair<boot_time, std::uint64_t>;
    using waiting_list = std::map<position, task_key>;

    struct team_state {
        resources quota;
        bool has_quota{false};
        resources running;
        /// Indexed by `task_priority`.
        std::array<waiting_list, task_priority_names.size()> waiting_lists;
    };

    /// Iterates over the tasks of one priority of all teams, ordered by position.
    class cursor;

    struct queue_entry {
        queued_task task;
        position at;
        /// Set while the task is not in its waiting list.
        std::optional<boot_time> postponed_until;
    };

    waiting_list& waiting_list_of(const queued_task& task);
    void resume_postponed(boot_time now);

    task_queue_settings settings_;
    std::unordered_map<std::string, team_state> teams_;
    std::unordered_map<task_key, queue_entry> tasks_;
    std::set<std::pair<boot_time, task_key>> postponed_;
    std::uint64_t next_number_{0};
    std::uint32_t urgent_since_aged_{0};
};

} // namespace egretstile
