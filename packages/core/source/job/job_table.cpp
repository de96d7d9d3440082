#include <egretstile/core/job/job_table.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace egretstile {

namespace {

constexpr std::size_t bits_of_byte = 8;
/// Marks a resume point that is to be removed; no task has this index.
constexpr std::uint32_t removed_index = std::numeric_limits<std::uint32_t>::max();

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

/// What is stored of a step; empty lists when nothing is.
step_progress progress_of_step(const step_state& step) {
    step_progress stored;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        const task_progress& task = step.tasks[index].progress;
        if (task.done) {
            stored.done.resize(index / bits_of_byte + 1);
            stored.done[index / bits_of_byte] |=
                static_cast<std::uint8_t>(1U << (index % bits_of_byte));
            continue;
        }
        if (!task.failed_attempts.empty()) {
            stored.failures.push_back({index, task.failed_attempts});
        }
        if (task.last_attempt != 0 || !task.checkpoint.empty()) {
            stored.resume_points.push_back({index, task.last_attempt, task.checkpoint});
        }
    }
    return stored;
}

bool is_empty(const step_progress& stored) {
    return stored.done.empty() && stored.failures.empty() && stored.resume_points.empty();
}

std::size_t bytes_of(const resume_point& point) {
    return sizeof(point.index) + sizeof(point.last_attempt) + sizeof(std::uint32_t) +
           point.checkpoint.size();
}

/// Resume points that are kept or removed together.
struct resume_group {
    std::size_t bytes{0};
    step_progress* step{nullptr};
    /// Position in the step; nothing: all of the step.
    std::optional<std::size_t> position;
};

std::vector<resume_group> resume_groups_of(job_progress& progress, const job_spec& spec) {
    std::vector<resume_group> groups;
    for (step_progress& step : progress.steps) {
        if (step.step < spec.steps.size() && spec.steps[step.step].gang) {
            groups.push_back({0, &step, std::nullopt});
        }
        for (std::size_t position = 0; position < step.resume_points.size(); ++position) {
            const std::size_t bytes = bytes_of(step.resume_points[position]);
            if (!groups.empty() && groups.back().step == &step && !groups.back().position) {
                groups.back().bytes += bytes;
            } else {
                groups.push_back({bytes, &step, position});
            }
        }
    }
    return groups;
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
    std::unique_ptr<job_entry> job = std::make_unique<job_entry>(spec);
    job->critical_path = critical_path_of(spec.steps);
    job->policy = policy == nullptr ? spec.policy : *policy;
    job_entry& added = *job;
    unfinished_.insert(&added);
    jobs_.emplace(spec.id, std::move(job));
    return added;
}

void job_table::restore(job_entry& job, const job_progress& progress, boot_time now) {
    job.occurrences.restore_done(progress.done);
    for (const step_progress& step : progress.steps) {
        restore_step(job, step);
    }
    restore_tasks(job, progress.tasks);
    job.occurrences.close_done();
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

void job_table::restore_step(job_entry& job, const step_progress& stored) {
    if (stored.step >= job.spec.steps.size()) {
        return;
    }
    occurrence_state* const occurrence = job.occurrences.open(job.spec, stored.occurrence);
    if (occurrence == nullptr) {
        return;
    }
    std::vector<job_task>& tasks = occurrence->steps[stored.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const std::size_t byte = index / bits_of_byte;
        if (byte < stored.done.size() && (stored.done[byte] >> (index % bits_of_byte) & 1U) != 0) {
            mark_done(job, {job.spec.id, stored.occurrence, stored.step, index});
        }
    }
    for (const task_failures& row : stored.failures) {
        if (row.index < tasks.size()) {
            tasks[row.index].progress.failed_attempts = row.attempts;
        }
    }
    for (const resume_point& row : stored.resume_points) {
        if (row.index < tasks.size()) {
            tasks[row.index].progress.last_attempt = row.last_attempt;
            tasks[row.index].progress.checkpoint = row.checkpoint;
        }
    }
}

void job_table::restore_tasks(job_entry& job, const std::vector<task_progress>& stored) {
    const std::uint32_t occurrences = std::max<std::uint32_t>(job.spec.schedule.repetitions, 1);
    const std::size_t row_count = tasks_of_occurrence(job.spec);
    std::size_t position = 0;
    for (std::uint32_t k = 0; k < occurrences && position < stored.size(); ++k) {
        const auto first = stored.begin() + static_cast<std::ptrdiff_t>(position);
        const auto last =
            first + static_cast<std::ptrdiff_t>(std::min(row_count, stored.size() - position));
        const bool untouched = std::all_of(
            first, last, [](const task_progress& row) { return row == task_progress(); });
        occurrence_state* const occurrence =
            untouched ? nullptr : job.occurrences.open(job.spec, k);
        if (occurrence == nullptr) {
            position += row_count;
            continue;
        }
        for (std::uint32_t s = 0; s < occurrence->steps.size(); ++s) {
            std::vector<job_task>& tasks = occurrence->steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size() && position < stored.size(); ++i) {
                const task_progress& row = stored[position++];
                const bool was_done = tasks[i].progress.done;
                tasks[i].progress = row;
                tasks[i].progress.done = was_done;
                if (row.done && !was_done) {
                    mark_done(job, {job.spec.id, k, s, i});
                }
            }
        }
        job.occurrences.close_done();
    }
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
    if (job == nullptr || !has_task(job->spec, task)) {
        return nullptr;
    }
    occurrence_state* const occurrence = job->occurrences.open(job->spec, task.occurrence);
    return occurrence == nullptr ? nullptr : &occurrence->steps[task.step].tasks[task.index];
}

void job_table::update_occurrences(std::int64_t wall_ms, std::size_t memory_limit) {
    std::optional<std::size_t> used;
    for (job_entry* const job : unfinished_) {
        if (job->spec.schedule.repetitions == 0) {
            continue;
        }
        job->occurrences.close_done();
        const std::optional<std::uint32_t> next = job->occurrences.next();
        if (!next || due_time_ms(job->spec, *next) > wall_ms) {
            continue;
        }
        used = used ? used : memory_bytes();
        const std::size_t bytes = memory_of_occurrence(job->spec);
        const std::size_t left = memory_limit - std::min(*used, memory_limit);
        const std::size_t reserved = job->occurrences.size() == 0 ? 1 : 0;
        const std::size_t opened =
            job->occurrences.open_due(job->spec, wall_ms, left / bytes + reserved);
        *used += (opened - std::min(opened, reserved)) * bytes;
    }
}

std::size_t job_table::memory_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [id, job] : jobs_) {
        const std::size_t reserved = is_final(job->state) ? 0 : 1;
        bytes += memory_of_job(job->spec) +
                 std::max(job->occurrences.size(), reserved) * memory_of_occurrence(job->spec);
    }
    return bytes;
}

std::optional<boot_time> job_table::next_removal(milliseconds retention) const {
    std::optional<boot_time> next;
    for (const auto& [id, job] : jobs_) {
        if (job->final_at && (!next || *job->final_at + retention < *next)) {
            next = *job->final_at + retention;
        }
    }
    return next;
}

tracked_run& job_table::add_run(job_entry& job, const task_ref& task, tracked_run run) {
    occurrence_state& occurrence = job.occurrences[task.occurrence];
    step_state& step = occurrence.steps[task.step];
    ++occurrence.run_count;
    step.waiting.erase(task.index);
    step.tasks[task.index].runs.push_back(std::move(run));
    return step.tasks[task.index].runs.back();
}

void job_table::remove_run(const task_attempt& run, const vm_name& vm) {
    job_task* const task = find_task(run.task);
    if (task == nullptr) {
        return;
    }
    find(run.task.job)->occurrences[run.task.occurrence].run_count -=
        std::erase_if(task->runs, [&run, &vm](const tracked_run& tracked) {
            return tracked.attempt == run.attempt && tracked.vm == vm;
        });
}

void job_table::close_if_final(const task_ref& task) {
    job_entry* const job = find(task.job);
    if (job != nullptr && is_final(job->state)) {
        job->occurrences.close_if_idle(task.occurrence);
    }
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
    job.occurrences.close_idle();
    for (auto& [number, occurrence] : job.occurrences) {
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
    return std::any_of(job.occurrences.begin(), job.occurrences.end(),
                       [](const auto& row) { return row.second.run_count > 0; });
}

bool has_task(const job_spec& spec, const task_ref& task) {
    return task.occurrence < std::max<std::uint32_t>(spec.schedule.repetitions, 1) &&
           task.step < spec.steps.size() && task.index < spec.steps[task.step].count;
}

job_progress progress_of(const job_entry& job) {
    job_progress progress;
    progress.state = job.state;
    if (is_final(job.state)) {
        return progress;
    }
    progress.done = job.occurrences.done();
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t step = 0; step < occurrence.steps.size() && !occurrence.is_done();
             ++step) {
            step_progress stored = progress_of_step(occurrence.steps[step]);
            if (!is_empty(stored)) {
                stored.occurrence = number;
                stored.step = step;
                progress.steps.push_back(std::move(stored));
            }
        }
    }
    return progress;
}

std::size_t resume_point_bytes(const job_progress& progress) {
    std::size_t bytes = 0;
    for (const step_progress& step : progress.steps) {
        for (const resume_point& point : step.resume_points) {
            bytes += bytes_of(point);
        }
    }
    return bytes;
}

void limit_resume_points(job_progress& progress, const job_spec& spec, std::size_t max_bytes) {
    std::vector<resume_group> groups = resume_groups_of(progress, spec);
    std::stable_sort(groups.begin(), groups.end(),
                     [](const resume_group& left, const resume_group& right) {
                         return left.bytes < right.bytes;
                     });
    std::size_t bytes = 0;
    for (const resume_group& group : groups) {
        bytes += group.bytes;
        if (bytes <= max_bytes) {
            continue;
        }
        if (group.position) {
            group.step->resume_points[*group.position].index = removed_index;
        } else {
            group.step->resume_points.clear();
        }
    }
    for (step_progress& step : progress.steps) {
        std::erase_if(step.resume_points,
                      [](const resume_point& point) { return point.index == removed_index; });
    }
    std::erase_if(progress.steps, is_empty);
}

bool is_step_ready(const job_entry& job, const occurrence_state& occurrence, std::uint32_t step) {
    const std::vector<std::uint32_t>& after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t earlier) {
        return occurrence.steps[earlier].done_count == occurrence.steps[earlier].tasks.size();
    });
}

} // namespace egretstile
