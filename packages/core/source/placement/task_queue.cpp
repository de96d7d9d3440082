#include <egretstile/core/placement/task_queue.hpp>

#include <algorithm>
#include <queue>

namespace egretstile {
namespace {

constexpr std::size_t index_of(task_priority priority) {
    return static_cast<std::size_t>(priority);
}

resources saturating_subtract(const resources& from, const resources& amount) {
    const resources rest = from - amount;
    return {std::max<std::int64_t>(0, rest.cpu_millicores),
            std::max<std::int64_t>(0, rest.memory_mb),
            std::max<std::int64_t>(0, rest.accelerators)};
}

} // namespace

class task_queue::cursor {
public:
    /// The cursors of one call of `order` share `running`, which must outlive them.
    cursor(const task_queue& queue, task_priority priority,
           std::unordered_map<std::string, resources>& running)
        : queue_(&queue)
        , running_(&running) {
        for (const auto& [name, team] : queue.teams_) {
            const waiting_list& tasks = team.waiting_lists.at(index_of(priority));
            if (!tasks.empty()) {
                heads_.push({tasks.begin(), tasks.end(), &name, &team});
            }
        }
    }

    /// Returns the next task that fits its team's quota, or null at the end.
    const queue_entry* peek() {
        while (!heads_.empty()) {
            const head& first = heads_.top();
            const queue_entry& entry = queue_->tasks_.at(first.next->second);
            const resources after = (*running_)[*first.name] + entry.task.need;
            if (!first.team->has_quota || fits(after, first.team->quota)) {
                return &entry;
            }
            // Skips the rest of the team too, because smaller tasks that overtake this one would
            // starve it.
            heads_.pop();
        }
        return nullptr;
    }

    /// Counts the task that `peek` returned towards its team and moves to the next one.
    /// Precondition: the last call of `peek` returned a task.
    void advance() {
        head first = heads_.top();
        heads_.pop();
        const queue_entry& entry = queue_->tasks_.at(first.next->second);
        resources& running = (*running_)[*first.name];
        running = running + entry.task.need;
        ++first.next;
        if (first.next != first.end) {
            heads_.push(first);
        }
    }

private:
    struct head {
        waiting_list::const_iterator next;
        waiting_list::const_iterator end;
        const std::string* name;
        const team_state* team;

        friend bool operator<(const head& left, const head& right) {
            return left.next->first > right.next->first;
        }
    };

    const task_queue* queue_;
    std::unordered_map<std::string, resources>* running_;
    std::priority_queue<head> heads_;
};

task_queue::task_queue(const task_queue_settings& settings)
    : settings_(settings) {}

void task_queue::set_quotas(const std::vector<team_plan>& teams) {
    for (auto& [name, team] : teams_) {
        team.has_quota = false;
    }
    for (const team_plan& row : teams) {
        team_state& team = teams_[row.name];
        team.quota = row.quota;
        team.has_quota = true;
    }
}

void task_queue::add(const queued_task& task) {
    const position at{task.queued_at, next_number_};
    if (!tasks_.try_emplace(task.key, queue_entry{task, at, std::nullopt}).second) {
        return;
    }
    ++next_number_;
    waiting_list_of(task).emplace(at, task.key);
}

void task_queue::remove(const task_key& key) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return;
    }
    const queue_entry& entry = found->second;
    if (entry.postponed_until) {
        postponed_.erase({*entry.postponed_until, key});
    } else {
        waiting_list_of(entry.task).erase(entry.at);
    }
    tasks_.erase(found);
}

void task_queue::postpone(const task_key& key, boot_time until) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.postponed_until) {
        return;
    }
    waiting_list_of(found->second.task).erase(found->second.at);
    found->second.postponed_until = until;
    postponed_.emplace(until, key);
}

void task_queue::record_start(const task_key& key) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return;
    }
    const queued_task& task = found->second.task;
    team_state& team = teams_[task.team];
    team.running = team.running + task.need;
    urgent_since_aged_ = task.priority == task_priority::urgent ? urgent_since_aged_ + 1 : 0;
    remove(key);
}

void task_queue::release(const std::string& team, const resources& need) {
    team_state& state = teams_[team];
    state.running = saturating_subtract(state.running, need);
}

void task_queue::set_running(const std::unordered_map<std::string, resources>& running) {
    for (auto& [name, team] : teams_) {
        team.running = {};
    }
    for (const auto& [name, amount] : running) {
        teams_[name].running = amount;
    }
}

std::vector<task_key> task_queue::order(std::size_t limit, boot_time now) {
    resume_postponed(now);
    std::unordered_map<std::string, resources> running;
    for (const auto& [name, team] : teams_) {
        running.emplace(name, team.running);
    }
    cursor urgent(*this, task_priority::urgent, running);
    cursor normal(*this, task_priority::normal, running);
    std::uint32_t urgent_in_a_row = urgent_since_aged_;
    std::vector<task_key> keys;
    while (keys.size() < limit) {
        const queue_entry* const next_urgent = urgent.peek();
        const queue_entry* const next_normal = normal.peek();
        const bool aged = next_normal != nullptr &&
                          now - next_normal->task.queued_at >= settings_.ageing &&
                          urgent_in_a_row >= settings_.urgent_starts_per_aged;
        if (next_urgent != nullptr && !aged) {
            keys.push_back(next_urgent->task.key);
            urgent.advance();
            ++urgent_in_a_row;
        } else if (next_normal != nullptr) {
            keys.push_back(next_normal->task.key);
            normal.advance();
            urgent_in_a_row = 0;
        } else {
            break;
        }
    }
    return keys;
}

void task_queue::resume_postponed(boot_time now) {
    while (!postponed_.empty() && postponed_.begin()->first <= now) {
        queue_entry& entry = tasks_.at(postponed_.begin()->second);
        entry.postponed_until.reset();
        waiting_list_of(entry.task).emplace(entry.at, entry.task.key);
        postponed_.erase(postponed_.begin());
    }
}

task_queue::waiting_list& task_queue::waiting_list_of(const queued_task& task) {
    return teams_[task.team].waiting_lists.at(index_of(task.priority));
}

} // namespace egretstile
