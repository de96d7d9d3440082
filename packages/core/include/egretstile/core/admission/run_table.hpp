#pragma once

#include <egretstile/core/admission/agent_run.hpp>
#include <egretstile/core/admission/worker_types.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace egretstile {

/// The runs of one VM: those to report, and retired ones. A run is retired when its end is
/// acknowledged and the worker no longer lists it. A retired run is kept for one grant term: a
/// delayed duplicate of its start names a heartbeat from before the retirement, and is valid until
/// that heartbeat is older than the grant term. Not thread-safe.
class run_table {
public:
    explicit run_table(milliseconds grant_term)
        : grant_term_(grant_term) {}

    /// Null when the run is not in the table or is retired. The pointer is valid until the run is
    /// retired.
    agent_run* find(const task_run& run);
    /// A retired run, a duplicate of whose start may still arrive; null otherwise. The pointer is
    /// valid until the next call of `retire` or `update_from_worker`.
    const agent_run* find_retired(const task_run& run) const;

    /// Precondition: the run is not in the table.
    const agent_run& add(const agent_run& run);

    /// All runs that are not retired, in order of key and attempt.
    std::map<task_run, agent_run>& runs() { return runs_; }

    /// Runs of the same task that prevent the start of `run`: attempts that have not ended, and all
    /// higher attempts. Precondition: `run` itself is not in the table.
    std::vector<agent_run*> find_conflicting(const task_run& run);

    /// Applies the worker's complete list, the answer to a status call sent at `sent_at`. Listed
    /// runs that are not in the table are adopted, unless they were retired after the call was
    /// sent. `first_heartbeat` is the sequence number of the next heartbeat.
    void update_from_worker(const std::vector<worker_run>& listed_runs,
                            std::uint64_t first_heartbeat, boot_time sent_at, boot_time now);
    /// Ends the runs that the worker does not list after its restart.
    void end_runs_of_previous_boot(const std::vector<worker_run>& listed_runs, boot_time now);
    /// Retires the runs that can be retired, and removes those that were retired more than a grant
    /// term ago.
    void retire(boot_time now);

    resources reserved() const;
    std::vector<run_report> reports() const;

private:
    struct retired_run {
        agent_run run;
        boot_time retired_at;
    };

    milliseconds grant_term_;
    std::map<task_run, agent_run> runs_;
    std::map<task_run, retired_run> retired_;
};

} // namespace egretstile
