#pragma once

#include "entry/fleet.hpp"
#include "entry/plan_keeper.hpp"
#include "entry/task_service.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>
#include <egretstile/core/task/task.hpp>

#include <memory>
#include <vector>

namespace egretstile::daemon {

/// Assigns the queued tasks of the owned shards to VMs. For the event loop's thread only.
class scheduler {
public:
    scheduler(const entry_settings& settings, task_service& tasks, fleet& known_fleet,
              const plan_keeper& plans, std::unique_ptr<placement_strategy> strategy);

    /// One round: tries each queued task once, in the order of the queue.
    void run(boot_time now);

private:
    struct candidate {
        shard_host* shard{nullptr};
        task_spec spec;
        std::int64_t accepted_at_ms{0};
    };

    std::vector<candidate> queued_candidates(boot_time now);
    void place(const candidate& task, std::vector<vm_view>& views, boot_time now);

    const entry_settings& settings_;
    task_service& tasks_;
    fleet& fleet_;
    const plan_keeper& plans_;
    std::unique_ptr<placement_strategy> strategy_;
};

} // namespace egretstile::daemon
