#include <egretstile/core/admission/run_table.hpp>

#include <set>

namespace egretstile {

namespace {

std::set<task_run> ids_of(const std::vector<worker_run>& listed_runs) {
    std::set<task_run> ids;
    for (const worker_run& listed_run : listed_runs) {
        ids.insert(listed_run.run);
    }
    return ids;
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

std::vector<agent_run*> run_table::find_conflicting(const task_run& run) {
    std::vector<agent_run*> result;
    for (auto other = runs_.lower_bound({run.key, 0});
         other != runs_.end() && other->first.key == run.key; ++other) {
        if (!other->second.ended() || other->first.attempt > run.attempt) {
            result.push_back(&other->second);
        }
    }
    return result;
}

void run_table::update_from_worker(const std::vector<worker_run>& listed_runs,
                                   std::uint64_t first_heartbeat, boot_time sent_at,
                                   boot_time now) {
    const std::set<task_run> ids = ids_of(listed_runs);
    for (const worker_run& listed_run : listed_runs) {
        const auto retired = retired_.find(listed_run.run);
        // A status that was requested before the run was retired must not adopt the run again.
        const bool predates_retirement =
            retired != retired_.end() && sent_at <= retired->second.retired_at;
        if (agent_run* const existing = find(listed_run.run)) {
            existing->observe_listed(listed_run, sent_at, now);
        } else if (!predates_retirement) {
            add(agent_run::adopted(listed_run, first_heartbeat, now));
        }
    }
    for (auto& [id, run] : runs_) {
        if (!ids.contains(id)) {
            run.observe_unlisted(sent_at, now);
        }
    }
    retire(now);
}

void run_table::end_runs_of_previous_boot(const std::vector<worker_run>& listed_runs,
                                          boot_time now) {
    const std::set<task_run> ids = ids_of(listed_runs);
    for (auto& [id, run] : runs_) {
        if (!ids.contains(id)) {
            run.worker_restarted(now);
        }
    }
}

void run_table::retire(boot_time now) {
    for (auto run = runs_.begin(); run != runs_.end();) {
        if (!run->second.can_retire()) {
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
    for (const auto& [id, run] : runs_) {
        sum = sum + run.reserved();
    }
    return sum;
}

std::vector<run_report> run_table::reports() const {
    std::vector<run_report> result;
    result.reserve(runs_.size());
    for (const auto& [id, run] : runs_) {
        result.push_back(run.report());
    }
    return result;
}

} // namespace egretstile
