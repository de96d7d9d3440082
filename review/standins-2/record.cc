#include "record.h"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace egretstile::review {

record::record(const std::string& file)
    : file_(file, std::ios::trunc)
    , began_at_(boot_now()) {}

void record::write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    write_locked(line);
}

void record::write_locked(const std::string& line) {
    const auto at = std::chrono::duration_cast<milliseconds>(boot_now() - began_at_).count();
    file_ << at << " ms " << line << std::endl;
}

void record::note_start(const std::string& runner, const std::string& task, std::int64_t attempt) {
    const std::lock_guard lock(mutex_);
    runs_.push_back({runner, task, attempt, boot_now(), "", {}, false, {}});
    write_locked("run of " + task + " attempt " + std::to_string(attempt) + " began on " + runner);
}

void record::note_end(const std::string& runner, const std::string& task, std::int64_t attempt,
                      const std::string& outcome) {
    const std::lock_guard lock(mutex_);
    for (auto run = runs_.rbegin(); run != runs_.rend(); ++run) {
        if (run->runner == runner && run->task == task && run->attempt == attempt &&
            run->outcome.empty()) {
            run->outcome = outcome;
            run->ended_at = boot_now();
            break;
        }
    }
    write_locked("run of " + task + " attempt " + std::to_string(attempt) + " ended as " + outcome +
                 " on " + runner);
}

void record::note_acknowledged(const std::string& runner, const std::string& task,
                               std::int64_t attempt) {
    const std::lock_guard lock(mutex_);
    for (auto run = runs_.rbegin(); run != runs_.rend(); ++run) {
        if (run->runner == runner && run->task == task && run->attempt == attempt) {
            run->acknowledged = true;
            run->acknowledged_at = boot_now();
            break;
        }
    }
    write_locked("end of " + task + " attempt " + std::to_string(attempt) + " acknowledged at " +
                 runner);
}

std::vector<task_run> record::runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<std::string> record::simultaneous_runs() const {
    const std::vector<task_run> all = runs();
    std::vector<std::string> found;
    for (std::size_t later = 0; later < all.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const bool over =
                !all[earlier].outcome.empty() && all[earlier].ended_at <= all[later].started_at;
            if (all[earlier].task == all[later].task && !over) {
                found.push_back(
                    all[later].task + ": attempt " + std::to_string(all[earlier].attempt) + " on " +
                    all[earlier].runner + " was active when attempt " +
                    std::to_string(all[later].attempt) + " began on " + all[later].runner);
            }
        }
    }
    return found;
}

std::vector<std::string> record::starts_after_done() const {
    const std::vector<task_run> all = runs();
    std::vector<std::string> found;
    for (std::size_t later = 0; later < all.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            if (all[earlier].task == all[later].task && all[earlier].outcome == "done" &&
                all[earlier].acknowledged && all[earlier].ended_at <= all[later].started_at) {
                found.push_back(
                    all[later].task + ": attempt " + std::to_string(all[earlier].attempt) + " on " +
                    all[earlier].runner + " had ended as done when attempt " +
                    std::to_string(all[later].attempt) + " began on " + all[later].runner);
            }
        }
    }
    return found;
}

std::size_t record::done_tasks(const std::string& job) const {
    std::set<std::string> done;
    for (const task_run& run : runs()) {
        if (run.outcome == "done" && run.task.compare(0, job.size() + 1, job + ".") == 0) {
            done.insert(run.task);
        }
    }
    return done.size();
}

} // namespace egretstile::review
