#include <egretstile/core/job/job_table.hpp>

#include <algorithm>
#include <utility>

namespace egretstile {

namespace {

/// Largest sum of estimated run times along a chain of dependent steps.
milliseconds critical_path_of(const std::vector<step_spec>& steps) {
    std::vector<std::int64_t> path_lengths(steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t number = 0; number < steps.size(); ++number) {
        std::int64_t before = 0;
        for (const std::uint32_t earlier : steps[number].after) {
            before = std::max(before, path_lengths[earlier]);
        }
        path_lengths[number] = before + steps[number].estimate_ms;
        longest = std::max(longest, path_lengths[number]);
    }
    return milliseconds(longest);
}

occurrence_state make_occurrence(const job_spec& spec, std::uint32_t number) {
    occurrence_state occurrence;
    if (spec.schedule.repetitions > 0) {
        occurrence.due_ms = spec.schedule.first_due_ms + number * spec.schedule.interval_ms;
    }
    for (const step_spec& step : spec.steps) {
        step_state state;
        state.tasks.resize(step.count);
        for (std::uint32_t index = 0; index < step.count; ++index) {
            state.waiting.insert(state.waiting.end(), index);
        }
        occurrence.steps.push_back(std::move(state));
    }
    return occurrence;
}

void count_unstarted_job(const job_entry& job, unstarted_jobs& counts) {
    if (job.state == job_state::queued) {
        ++counts.all;
        counts.ordered += has_runs(job) ? 1 : 0;
    }
}

} // namespace

job_entry& job_table::add(const job_spec& spec, const queue_policy* policy) {
    const auto found = jobs_.find(spec.id);
    if (found != jobs_.end()) {
        return *found->second;
    }
    std::unique_ptr<job_entry> job = std::make_unique<job_entry>();
    job->spec = spec;
    job->critical_path = critical_path_of(spec.steps);
    job->policy = policy == nullptr ? spec.policy : *policy;
    const std::uint32_t occurrences = std::max<std::uint32_t>(spec.schedule.repetitions, 1);
    for (std::uint32_t number = 0; number < occurrences; ++number) {
        job->occurrences.push_back(make_occurrence(spec, number));
    }
    job_entry& added = *job;
    unfinished_.insert(&added);
    jobs_.emplace(spec.id, std::move(job));
    return added;
}

void job_table::restore(job_entry& job, const job_progress& progress, boot_time now) {
    std::size_t position = 0;
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            std::vector<job_task>& tasks = job.occurrences[k].steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size() && position < progress.tasks.size(); ++i) {
                const task_progress& stored = progress.tasks[position++];
                const bool was_done = tasks[i].progress.done;
                tasks[i].progress = stored;
                tasks[i].progress.done = was_done;
                if (stored.done && !was_done) {
                    mark_done(job, {job.spec.id, k, s, i});
                }
            }
        }
    }
    if (is_final(progress.state)) {
        finish(job, progress.state);
        // A job that completed before its cancellation was stored keeps its stored state, even if
        // it is already marked as cancelled here.
        job.state = progress.state;
        job.final_at = now;
    } else if (is_final(job.state)) {
        // The cancellation was read before the progress, so the final state is yet to be stored.
        return;
    } else if (job.state == job_state::queued) {
        job.state = progress.state;
    }
    job.stored_version = job.version;
    changed_.erase(std::remove(changed_.begin(), changed_.end(), &job), changed_.end());
}

job_entry* job_table::find(const job_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const job_entry* job_table::find(const job_id& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

job_task* job_table::find_task(const task_ref& task) {
    job_entry* const job = find(task.job);
    if (job == nullptr || task.occurrence >= job->occurrences.size()) {
        return nullptr;
    }
    occurrence_state& occurrence = job->occurrences[task.occurrence];
    if (task.step >= occurrence.steps.size() ||
        task.index >= occurrence.steps[task.step].tasks.size()) {
        return nullptr;
    }
    return &occurrence.steps[task.step].tasks[task.index];
}

bool job_table::mark_started(job_entry& job) {
    if (job.state != job_state::queued) {
        return false;
    }
    job.state = job_state::running;
    job.has_unmarked_progress = true;
    return true;
}

void job_table::mark_done(job_entry& job, const task_ref& task) {
    occurrence_state& occurrence = job.occurrences[task.occurrence];
    step_state& step = occurrence.steps[task.step];
    job_task& state = step.tasks[task.index];
    if (std::exchange(state.progress.done, true)) {
        return;
    }
    mark_started(job);
    state.progress.checkpoint.clear();
    step.waiting.erase(task.index);
    if (++step.done_count == step.tasks.size()) {
        ++occurrence.done_steps;
    }
    mark_changed(job);
}

void job_table::finish(job_entry& job, job_state state) {
    if (is_final(job.state)) {
        return;
    }
    job.state = state;
    for (occurrence_state& occurrence : job.occurrences) {
        for (step_state& step : occurrence.steps) {
            step.waiting.clear();
        }
    }
    unfinished_.erase(&job);
    mark_changed(job);
}

void job_table::mark_changed(job_entry& job) {
    job.has_unmarked_progress = false;
    if (job.version == job.stored_version) {
        changed_.push_back(&job);
    }
    ++job.version;
}

std::vector<job_entry*> job_table::changed(std::size_t limit) const {
    const std::size_t count = std::min(limit, changed_.size());
    return {changed_.begin(), changed_.begin() + static_cast<std::ptrdiff_t>(count)};
}

void job_table::mark_stored(job_entry& job, std::uint64_t version, boot_time now) {
    job.stored_version = std::max(job.stored_version, version);
    changed_.erase(std::remove(changed_.begin(), changed_.end(), &job), changed_.end());
    if (job.stored_version < job.version) {
        changed_.push_back(&job);
    } else if (is_final(job.state)) {
        job.final_at = now;
    }
}

void job_table::remove(const job_id& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    unfinished_.erase(found->second.get());
    changed_.erase(std::remove(changed_.begin(), changed_.end(), found->second.get()),
                   changed_.end());
    jobs_.erase(found);
}

std::vector<job_id> job_table::final_before(boot_time time) const {
    std::vector<job_id> ids;
    for (const auto& [id, job] : jobs_) {
        // A change that is not stored yet must not be written after the removal.
        if (job->final_at && *job->final_at < time && job->version == job->stored_version) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t job_table::pending(const std::string& queue) const {
    return static_cast<std::size_t>(
        std::count_if(unfinished_.begin(), unfinished_.end(), [&queue](const job_entry* job) {
            return job->spec.queue == queue && job->state == job_state::queued &&
                   job->spec.schedule.repetitions == 0;
        }));
}

unstarted_jobs job_table::count_unstarted() const {
    unstarted_jobs counts;
    for (const job_entry* const job : unfinished_) {
        count_unstarted_job(*job, counts);
    }
    return counts;
}

unstarted_jobs job_table::count_unstarted(const std::string& queue) const {
    unstarted_jobs counts;
    for (const job_entry* const job : unfinished_) {
        if (job->spec.queue == queue && job->spec.schedule.repetitions == 0) {
            count_unstarted_job(*job, counts);
        }
    }
    return counts;
}

bool has_runs(const job_entry& job) {
    for (const occurrence_state& occurrence : job.occurrences) {
        for (const step_state& step : occurrence.steps) {
            for (const job_task& task : step.tasks) {
                if (!task.runs.empty()) {
                    return true;
                }
            }
        }
    }
    return false;
}

job_progress progress_of(const job_entry& job) {
    job_progress progress;
    progress.state = job.state;
    if (is_final(job.state)) {
        return progress;
    }
    for (const occurrence_state& occurrence : job.occurrences) {
        for (const step_state& step : occurrence.steps) {
            for (const job_task& task : step.tasks) {
                progress.tasks.push_back(task.progress);
            }
        }
    }
    return progress;
}

bool is_step_ready(const job_entry& job, const occurrence_state& occurrence, std::uint32_t step) {
    const std::vector<std::uint32_t>& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) {
        return occurrence.steps[earlier].done_count == occurrence.steps[earlier].tasks.size();
    });
}

} // namespace egretstile
