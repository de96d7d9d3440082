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

/// The runs of one VM: those to report, and the retired ones. A run is retired when its end is
/// acknowledged; it is then kept for one grant term, because a delayed duplicate of its start names
/// a heartbeat from before the retirement and is valid so long. Not thread-safe.
class run_table {
public:
    explicit run_table(milliseconds grant_term)
        : grant_term_(grant_term) {}

    /// Null when the run is not in the table. Valid until the next change of the table.
    agent_run* find(const task_run& run);
    /// A run that was retired and whose start may still arrive; null otherwise.
    const agent_run* find_retired(const task_run& run) const;

    /// Precondition: the run is not in the table.
    const agent_run& add(const agent_run& run);

    /// All runs that are not retired, in order of key and attempt.
    std::map<task_run, agent_run>& runs() { return runs_; }

    /// Runs of the key with any other attempt that have not ended, and those of higher attempts.
    std::vector<agent_run*> conflicting(const task_run& run);

    /// Takes the complete list of a status call sent at `sent_at`.
    void observe(const std::vector<worker_run>& listed, std::uint64_t first_heartbeat,
                 boot_time sent_at, boot_time now);
    /// Ends the runs that the new worker does not list.
    void worker_restarted(const std::vector<worker_run>& listed, boot_time now);
    /// Retires what is finished and forgets what was retired a grant term ago.
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
