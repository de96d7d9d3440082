#include <egretstile/core/placement/run_time_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace egretstile {
namespace {

/// The weight of a new sample in an average is one over the number of samples, but at least this.
constexpr double min_weight = 0.1;
/// Ratios of actual to declared values are clamped to this factor in both directions.
constexpr double max_ratio = 20.0;
/// With fewer samples the declared values are used.
constexpr std::uint32_t min_samples = 3;
/// Factor by which the remembered memory peak decays with each observed run.
constexpr double peak_decay = 0.98;

std::string group_of(const task_spec& task) {
    return std::to_string(static_cast<int>(task.kind)) + '/' + task.team;
}

double ratio(double actual, double declared) {
    return declared <= 0 ? 1.0 : std::clamp(actual / declared, 1.0 / max_ratio, max_ratio);
}

std::int64_t scaled(std::int64_t amount, double factor) {
    return std::llround(static_cast<double>(amount) * factor);
}

std::int64_t raised(std::int64_t declared, double factor, std::int64_t largest) {
    return std::max(declared, std::min(scaled(declared, factor), largest));
}

} // namespace

void run_time_estimator::observe(const task_spec& task, milliseconds run_time,
                                 const resources& peak_used) {
    group_state& group = groups_[group_of(task)];
    const double weight = std::max(min_weight, 1.0 / (group.count + 1.0));
    const auto actual_ms = static_cast<double>(run_time.count());
    const auto declared_ms = static_cast<double>(task.declared_run_time.count());
    const double cpu = ratio(static_cast<double>(peak_used.cpu_millicores),
                             static_cast<double>(task.need.cpu_millicores));
    const double memory =
        ratio(static_cast<double>(peak_used.memory_mb), static_cast<double>(task.need.memory_mb));
    group.log_run_time +=
        weight * (std::log(ratio(std::max(actual_ms, 1.0), declared_ms)) - group.log_run_time);
    group.run_time_ms += weight * (actual_ms - group.run_time_ms);
    group.cpu += weight * (cpu - group.cpu);
    group.memory += weight * (memory - group.memory);
    group.peak_memory = std::max(memory, group.peak_memory * peak_decay);
    ++group.count;
}

milliseconds run_time_estimator::expected_run_time(const task_spec& task) const {
    const group_state* const group = find(task);
    if (group == nullptr || task.kind == task_kind::watch) {
        return task.declared_run_time;
    }
    if (task.declared_run_time.count() <= 0) {
        return milliseconds(std::llround(group->run_time_ms));
    }
    return milliseconds(scaled(task.declared_run_time.count(), std::exp(group->log_run_time)));
}

resources run_time_estimator::placement_need(const task_spec& task,
                                             const resources& largest) const {
    const group_state* const group = find(task);
    if (group == nullptr) {
        return task.need;
    }
    // Memory uses the peak ratio and not the mean, because a task that lacks memory is killed,
    // while one that lacks processor time only runs slower.
    return {raised(task.need.cpu_millicores, group->cpu, largest.cpu_millicores),
            raised(task.need.memory_mb, group->peak_memory, largest.memory_mb),
            task.need.accelerators};
}

resources run_time_estimator::expected_usage(const task_spec& task) const {
    const group_state* const group = find(task);
    if (group == nullptr) {
        return task.need;
    }
    return {scaled(task.need.cpu_millicores, group->cpu),
            scaled(task.need.memory_mb, group->memory), task.need.accelerators};
}

const run_time_estimator::group_state* run_time_estimator::find(const task_spec& task) const {
    const auto found = groups_.find(group_of(task));
    return found == groups_.end() || found->second.count < min_samples ? nullptr : &found->second;
}

} // namespace egretstile
