#include <egretstile/core/job/job_spec.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace egretstile {

namespace {

/// More tasks than any deployment within the two-year growth target runs at the same time.
constexpr std::size_t max_tasks_of_occurrence = 100000;
/// Bounds the memory and the stored progress of a schedule that is behind its due times.
constexpr std::size_t max_open_tasks = 5000;
/// Sizes in a stored record of its fixed part, of a step, of a range of occurrences, and of the
/// failures of a task and each of them.
constexpr std::size_t fixed_bytes = 64;
constexpr std::size_t step_bytes = 20;
constexpr std::size_t range_bytes = 8;
constexpr std::size_t failures_bytes = 8;
constexpr std::size_t failure_bytes = 4;
constexpr std::size_t bits_of_byte = 8;
/// Memory of a job, with its rows in the tables of the leader, and of an occurrence, a step and a
/// task with a run.
constexpr std::size_t job_memory_bytes = 2048;
constexpr std::size_t occurrence_memory_bytes = 256;
constexpr std::size_t step_memory_bytes = 512;
constexpr std::size_t task_memory_bytes = 640;

std::size_t max_bytes_of_step(const step_spec& step, std::uint32_t max_attempts) {
    const std::size_t failing = step.long_running ? 0 : step.gang ? 1 : step.count;
    return step_bytes + step.count / bits_of_byte + 1 +
           failing * (failures_bytes + failure_bytes * max_attempts);
}

} // namespace

std::string job_problem(const job_spec& job) {
    if (job.steps.empty()) {
        return "the job has no steps";
    }
    std::size_t tasks = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const step_spec& step = job.steps[number];
        if (step.count == 0) {
            return "step " + std::to_string(number) + " has no tasks";
        }
        tasks += step.count;
        for (const std::uint32_t earlier : step.after) {
            if (earlier >= number) {
                return "step " + std::to_string(number) + " does not come after step " +
                       std::to_string(earlier);
            }
        }
    }
    if (tasks > max_tasks_of_occurrence) {
        return "the steps have more than " + std::to_string(max_tasks_of_occurrence) + " tasks";
    }
    return "";
}

std::size_t tasks_of_occurrence(const job_spec& job) {
    return std::accumulate(job.steps.begin(), job.steps.end(), std::size_t{0},
                           [](std::size_t sum, const step_spec& step) { return sum + step.count; });
}

std::size_t memory_of_job(const job_spec& job) {
    std::size_t bytes = job_memory_bytes + job.payload.size();
    for (const step_spec& step : job.steps) {
        bytes += step_memory_bytes + step.after.size() * sizeof(std::uint32_t) +
                 step.required_label.size() + step.preferred_rack.size() + step.image.size();
    }
    return bytes;
}

std::size_t memory_of_occurrence(const job_spec& job) {
    return occurrence_memory_bytes + job.steps.size() * step_memory_bytes +
           tasks_of_occurrence(job) * task_memory_bytes;
}

std::size_t max_open_occurrences(const job_spec& job) {
    const std::size_t occurrences = std::max<std::size_t>(job.schedule.repetitions, 1);
    const std::size_t tasks = std::max<std::size_t>(tasks_of_occurrence(job), 1);
    return std::clamp<std::size_t>(max_open_tasks / tasks, 1, occurrences);
}

std::size_t max_progress_bytes(const job_spec& job) {
    std::size_t bytes = range_bytes;
    for (const step_spec& step : job.steps) {
        bytes += max_bytes_of_step(step, job.policy.max_attempts);
    }
    return fixed_bytes + range_bytes + max_open_occurrences(job) * bytes;
}

std::string to_string(const task_ref& task) {
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) +
           "." + std::to_string(task.index);
}

} // namespace egretstile
