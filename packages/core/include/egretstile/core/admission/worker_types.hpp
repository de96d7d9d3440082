#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <string>
#include <vector>

namespace egretstile {

/// A run as the worker lists it; ended runs stay listed until the agent has them forgotten.
struct worker_run {
    task_run run;
    shard_number shard{0};
    std::string team;
    run_phase phase{run_phase::running};
    task_kind kind{task_kind::reconciliation};
    resources need;
    /// Measured usage; lags behind.
    resources used;
    /// End of the run's lease; after it the worker ends a run that executes.
    boot_time lease_until;
    std::string checkpoint;
    std::string detail;
};

struct worker_status {
    /// Changes when the VM or its worker restarts; then no earlier run exists any more.
    std::string boot;
    std::string rack;
    resources capacity;
    /// Highest agent incarnation that the worker has seen.
    incarnation_number incarnation{0};
    std::vector<worker_run> runs;
};

struct worker_start {
    task_run run;
    shard_number shard{0};
    task_spec spec;
    std::string checkpoint;
    /// The worker ends the run by itself at this time unless renewed.
    boot_time lease_until;
    /// The worker refuses the start after this time.
    boot_time start_before;
    /// The worker refuses the start when its boot id is another one: the owner ends the runs of an
    /// earlier boot when it hears of a new one, so a start that was sent before a restart of the
    /// worker must not take effect after it.
    std::string boot;
};

struct worker_renewal {
    task_run run;
    boot_time lease_until;
};

} // namespace egretstile
