#pragma once

#include "entry/plan_keeper.hpp"
#include "entry/task_service.hpp"

#include <egretstile/core/plan/plan.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace egretstile::daemon {

/// Turns the plan's batch and watch rows into tasks: each entry submits what is due in the shards
/// that it owns, and cancels what the plan no longer holds. For the event loop's thread only.
class plan_runner {
public:
    plan_runner(task_service& tasks, const plan_keeper& plans)
        : tasks_(tasks)
        , plans_(plans) {}

    /// Call about once a second.
    void run(boot_time now, std::int64_t wall_now_ms);

private:
    void run_row(const plan_row& row, std::int64_t wall_now_ms);
    void run_watch(const plan_row& row);
    void submit(const plan_row& row, const task_key& key);
    void cancel_removed();

    task_service& tasks_;
    const plan_keeper& plans_;
    /// Rows of the plan that was in force at the last call, by name.
    std::map<std::string, plan_row> known_;
    revision_number known_revision_{0};
};

} // namespace egretstile::daemon
