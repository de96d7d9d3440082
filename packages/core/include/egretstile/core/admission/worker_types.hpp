#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <string>
#include <vector>

namespace egretstile {

/// A run in the worker's list. The worker keeps an ended run in the list until the agent calls
/// `forget` for it.
struct worker_run {
    task_run run;
    shard_number shard{0};
    std::string team;
    run_phase phase{run_phase::running};
    task_kind kind{task_kind::reconciliation};
    resources need;
    /// Measured usage; the measurement may be older than the rest of the list.
    resources used;
    /// End of the run's lease. The worker ends the run if it still executes at that time.
    boot_time lease_until;
    std::string checkpoint;
    std::string detail;
};

/// The worker's answer to a status call.
struct worker_status {
    /// Changes when the VM or its worker restarts. No run of an earlier boot exists after that.
    std::string boot;
    std::string rack;
    resources capacity;
    /// Highest agent incarnation from which the worker has received a call.
    incarnation_number incarnation{0};
    std::vector<worker_run> runs;
};

/// A call that starts a run on the worker.
struct worker_start {
    task_run run;
    shard_number shard{0};
    task_spec spec;
    std::string checkpoint;
    /// The worker ends the run at this time unless the lease is renewed.
    boot_time lease_until;
    /// The worker refuses the start after this time.
    boot_time start_before;
    /// The worker refuses the start when its boot id differs. The owner ends the runs of the
    /// earlier boot as soon as a heartbeat reports a new boot id, so a start that was sent before a
    /// restart of the worker must not take effect after the restart.
    std::string boot;
};

/// A call that extends the lease of a run.
struct worker_renewal {
    task_run run;
    boot_time lease_until;
};

} // namespace egretstile
