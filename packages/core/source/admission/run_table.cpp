#include <egretstile/core/admission/run_table.hpp>

#include <set>

namespace egretstile {

namespace {

std::set<task_run> names_of(const std::vector<worker_run>& listed) {
    std::set<task_run> names;
    for (const worker_run& seen : listed) {
        names.insert(seen.run);
    }
    return names;
}

} // namespace

agent_run* run_table::find(const task_run& run) {
    const auto found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

const agent_run* run_table::find_retired(const task_run& run) const {
    const auto found = retired_.find(run);
    return found == retired_.end() ? nullptr : &found->second.run;
}

const agent_run& run_table::add(const agent_run& run) {
    return runs_.emplace(run.report().run, run).first->second;
}

std::vector<agent_run*> run_table::conflicting(const task_run& run) {
    std::vector<agent_run*> result;
    for (auto other = runs_.lower_bound({run.key, 0});
         other != runs_.end() && other->first.key == run.key; ++other) {
        if (!other->second.ended() || other->first.attempt > run.attempt) {
            result.push_back(&other->second);
        }
    }
    return result;
}

void run_table::observe(const std::vector<worker_run>& listed, std::uint64_t first_heartbeat,
                        boot_time sent_at, boot_time now) {
    const std::set<task_run> names = names_of(listed);
    for (const worker_run& seen : listed) {
        const auto retired = retired_.find(seen.run);
        const bool outdated = retired != retired_.end() && sent_at <= retired->second.retired_at;
        if (agent_run* const known = find(seen.run)) {
            known->listed(seen, sent_at, now);
        } else if (!outdated) {
            add(agent_run::taken_over(seen, first_heartbeat, now));
        }
    }
    for (auto& [name, run] : runs_) {
        if (!names.contains(name)) {
            run.unlisted(sent_at, now);
        }
    }
    retire(now);
}

void run_table::worker_restarted(const std::vector<worker_run>& listed, boot_time now) {
    const std::set<task_run> names = names_of(listed);
    for (auto& [name, run] : runs_) {
        if (!names.contains(name)) {
            run.lost(now);
        }
    }
}

void run_table::retire(boot_time now) {
    for (auto run = runs_.begin(); run != runs_.end();) {
        if (!run->second.finished()) {
            ++run;
            continue;
        }
        retired_.insert_or_assign(run->first, retired_run{run->second, now});
        run = runs_.erase(run);
    }
    std::erase_if(retired_, [this, now](const std::pair<const task_run, retired_run>& run) {
        return run.second.retired_at + grant_term_ < now;
    });
}

resources run_table::reserved() const {
    resources sum;
    for (const auto& [name, run] : runs_) {
        sum = sum + run.reserved();
    }
    return sum;
}

std::vector<run_report> run_table::reports() const {
    std::vector<run_report> result;
    result.reserve(runs_.size());
    for (const auto& [name, run] : runs_) {
        result.push_back(run.report());
    }
    return result;
}

} // namespace egretstile
