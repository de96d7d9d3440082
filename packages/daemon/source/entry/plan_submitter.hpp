#pragma once

#include "entry/plan_client.hpp"
#include "entry/task_service.hpp"

#include <egretstile/core/plan/plan.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace egretstile::daemon {

/// Submits the tasks of the plan's batch and watch rows. Each entry submits the due tasks whose
/// shards it owns, and cancels tasks whose row is no longer in the plan. For the event loop's
/// thread only.
class plan_submitter {
public:
    plan_submitter(task_service& tasks, const plan_client& plans)
        : tasks_(tasks)
        , plans_(plans) {}

    /// Submits and cancels what is due. Does nothing when the plan was not confirmed within the
    /// last 3 s. Call about once a second.
    void run(boot_time now, std::int64_t wall_now_ms);

private:
    void run_row(const plan_row& row, std::int64_t wall_now_ms);
    void run_watch(const plan_row& row);
    void submit(const plan_row& row, const task_key& key);
    void cancel_removed();

    task_service& tasks_;
    const plan_client& plans_;
    /// Rows of the plan that was in force at the last call, by name.
    std::map<std::string, plan_row> rows_;
    revision_number rows_revision_{0};
};

} // namespace egretstile::daemon
