#include <egretstile/core/placement/task_queue.hpp>

#include <algorithm>
#include <queue>

namespace egretstile {
namespace {

constexpr std::size_t index_of(task_priority priority) {
    return static_cast<std::size_t>(priority);
}

resources without(const resources& from, const resources& amount) {
    const resources rest = from - amount;
    return {std::max<std::int64_t>(0, rest.cpu_millicores),
            std::max<std::int64_t>(0, rest.memory_mb),
            std::max<std::int64_t>(0, rest.accelerators)};
}

} // namespace

class task_queue::cursor {
public:
    /// `running` is shared by the cursors of one call; it must outlive them.
    cursor(const task_queue& queue, task_priority priority,
           std::unordered_map<std::string, resources>& running)
        : queue_(&queue)
        , running_(&running) {
        for (const auto& [name, team] : queue.teams_) {
            const line& tasks = team.lines.at(index_of(priority));
            if (!tasks.empty()) {
                heads_.push({tasks.begin(), tasks.end(), &name, &team});
            }
        }
    }

    /// The next task within its team's quota; null at the end.
    const task_place* peek() {
        while (!heads_.empty()) {
            const head& first = heads_.top();
            const task_place& place = queue_->tasks_.at(first.next->second);
            const resources after = (*running_)[*first.name] + place.task.need;
            if (!first.team->has_quota || fits(after, first.team->quota)) {
                return &place;
            }
            // The rest of the team waits too: smaller tasks that overtake would starve this one.
            heads_.pop();
        }
        return nullptr;
    }

    /// Precondition: `peek` gave a task.
    void take() {
        head first = heads_.top();
        heads_.pop();
        const task_place& place = queue_->tasks_.at(first.next->second);
        resources& running = (*running_)[*first.name];
        running = running + place.task.need;
        ++first.next;
        if (first.next != first.end) {
            heads_.push(first);
        }
    }

private:
    struct head {
        line::const_iterator next;
        line::const_iterator end;
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
    if (!tasks_.try_emplace(task.key, task_place{task, at, std::nullopt}).second) {
        return;
    }
    ++next_number_;
    line_of(task).emplace(at, task.key);
}

void task_queue::remove(const task_key& key) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        return;
    }
    const task_place& place = found->second;
    if (place.postponed_until) {
        postponed_.erase({*place.postponed_until, key});
    } else {
        line_of(place.task).erase(place.at);
    }
    tasks_.erase(found);
}

void task_queue::postpone(const task_key& key, boot_time until) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.postponed_until) {
        return;
    }
    line_of(found->second.task).erase(found->second.at);
    found->second.postponed_until = until;
    postponed_.emplace(until, key);
}

void task_queue::started(const task_key& key) {
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
    state.running = without(state.running, need);
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
    end_postponements(now);
    std::unordered_map<std::string, resources> running;
    for (const auto& [name, team] : teams_) {
        running.emplace(name, team.running);
    }
    cursor urgent(*this, task_priority::urgent, running);
    cursor normal(*this, task_priority::normal, running);
    std::uint32_t urgent_in_a_row = urgent_since_aged_;
    std::vector<task_key> keys;
    while (keys.size() < limit) {
        const task_place* const next_urgent = urgent.peek();
        const task_place* const next_normal = normal.peek();
        const bool aged = next_normal != nullptr &&
                          now - next_normal->task.queued_at >= settings_.ageing &&
                          urgent_in_a_row >= settings_.urgent_starts_per_aged;
        if (next_urgent != nullptr && !aged) {
            keys.push_back(next_urgent->task.key);
            urgent.take();
            ++urgent_in_a_row;
        } else if (next_normal != nullptr) {
            keys.push_back(next_normal->task.key);
            normal.take();
            urgent_in_a_row = 0;
        } else {
            break;
        }
    }
    return keys;
}

void task_queue::end_postponements(boot_time now) {
    while (!postponed_.empty() && postponed_.begin()->first <= now) {
        task_place& place = tasks_.at(postponed_.begin()->second);
        place.postponed_until.reset();
        line_of(place.task).emplace(place.at, place.task.key);
        postponed_.erase(postponed_.begin());
    }
}

task_queue::line& task_queue::line_of(const queued_task& task) {
    return teams_[task.team].lines.at(index_of(task.priority));
}

} // namespace egretstile
