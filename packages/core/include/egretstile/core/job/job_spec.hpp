#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/job/operator_config.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace egretstile {

/// Chosen by the caller; unique in the deployment.
using job_id = std::string;

/// A number of tasks of a job that have the same needs.
struct step_spec {
    std::uint32_t count{1};
    /// Resources that one task reserves. With `fills_idle_cpu` the processor time is not reserved.
    resources need;
    /// The caller's rough estimate of one task's run time.
    std::uint32_t estimate_ms{0};
    /// Numbers of the steps whose tasks must all be done before a task of this step starts.
    std::vector<std::uint32_t> after;
    /// The tasks save checkpoints from which a later run resumes.
    bool checkpointing{false};
    /// The tasks work only together: all are started with the same attempt number and end together.
    bool gang{false};
    /// The tasks are slower when they run on more than one rack.
    bool rack_local{false};
    /// Several copies of a task may run at the same time; the task is done when the first of them
    /// is.
    bool speculative{false};
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool long_running{false};
    /// The tasks use only processor time that other tasks leave idle. Comments call them filling
    /// tasks.
    bool fills_idle_cpu{false};
    /// Label that the VM must have; empty: any.
    std::string required_label;
    /// Rack that holds the tasks' data; empty: none.
    std::string preferred_rack;
    /// Most tasks of the step in one occurrence that may run on one VM; zero: no limit.
    std::uint32_t max_per_vm{0};
    /// Image that the tasks execute. Tasks of one image are expected to use resources alike.
    std::string image;
    /// Bound of the tail latency of tasks that serve their own users, which comments call serving
    /// tasks; zero: the tasks do not serve.
    std::uint32_t target_latency_ms{0};
    /// Most tasks of a long-running step that may be unavailable because of the scheduler; zero: no
    /// limit.
    std::uint32_t max_unavailable{0};

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// When the steps of a job run.
struct job_schedule {
    /// Wall-clock time of the first occurrence in milliseconds since 1970.
    std::int64_t first_due_ms{0};
    /// Time between the due times of two occurrences.
    std::int64_t interval_ms{0};
    /// Number of occurrences. Zero: the steps run once, without waiting for `first_due_ms`.
    std::uint32_t repetitions{0};

    friend bool operator==(const job_schedule&, const job_schedule&) = default;
};

/// An accepted job as it is stored; never changes.
struct job_spec {
    job_id id;
    /// Name of the queue that accepted the job.
    std::string queue;
    /// The queue's policy at the time of acceptance. The leader uses the present policy of that
    /// name instead when there is one.
    queue_policy policy;
    /// Opaque text that is passed to the tasks.
    std::string payload;
    std::vector<step_spec> steps;
    job_schedule schedule;
    /// Wall-clock time of the acceptance in milliseconds since 1970.
    std::int64_t accepted_at_ms{0};
    /// Leader epoch that was known to the accepting entry. No leader of an earlier epoch starts a
    /// task of the job.
    epoch_number accepted_epoch{0};
};

/// Reason why the job is invalid and must be refused; empty when it is valid. Thread-safe.
std::string job_problem(const job_spec& job);

/// Number of tasks of one occurrence. Thread-safe.
std::size_t tasks_of_occurrence(const job_spec& job);

/// Most occurrences of the job that are opened because they are due; see `job_occurrences`.
/// Thread-safe.
std::size_t max_open_occurrences(const job_spec& job);

/// Memory that the leader needs for the job without its tasks, in bytes. Thread-safe.
std::size_t memory_of_job(const job_spec& job);

/// Memory that the leader needs for one open occurrence of the job, in bytes. Thread-safe.
std::size_t memory_of_occurrence(const job_spec& job);

/// Upper bound of the size of the job's stored progress without resume points, in bytes.
/// Thread-safe.
std::size_t max_progress_bytes(const job_spec& job);

/// One task of a job.
struct task_ref {
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    friend bool operator==(const task_ref&, const task_ref&) = default;

    friend bool operator<(const task_ref& left, const task_ref& right) {
        return std::tie(left.job, left.occurrence, left.step, left.index) <
               std::tie(right.job, right.occurrence, right.step, right.index);
    }
};

/// One attempt to run a task.
struct task_attempt {
    task_ref task;
    attempt_number attempt{0};

    friend bool operator==(const task_attempt&, const task_attempt&) = default;

    friend bool operator<(const task_attempt& left, const task_attempt& right) {
        return std::tie(left.task, left.attempt) < std::tie(right.task, right.attempt);
    }
};

/// "JOB.OCCURRENCE.STEP.INDEX", for logs. Thread-safe.
std::string to_string(const task_ref& task);

} // namespace egretstile
