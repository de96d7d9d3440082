#include "played_vms.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

/// VMs whose tasks save a checkpoint, and a leader that stores what has changed at once.
class saving_vms : public played_vms {
public:
    saving_vms()
        : played_vms(2) {
        exchange();
        job_spec job = make_plain_job("job", 4);
        job.steps[0].checkpointing = true;
        job.steps[0].estimate_ms = 8000;
        scheduler.add_job(job);
        exchange();
    }

    /// Stores of the job's progress in this time, with a new checkpoint in each report.
    std::size_t count_stores(milliseconds length) {
        std::size_t stores = 0;
        for (milliseconds past(0); past < length; past += milliseconds(100)) {
            ++checkpoints;
            for (auto& [name, report] : reports) {
                for (active_run& active : report.active) {
                    active.checkpoint = "checkpoint-" + std::to_string(checkpoints);
                }
            }
            exchange();
            for (const job_entry* const job : scheduler.changed_jobs(10)) {
                stored = progress_of(*job);
                scheduler.mark_stored(job->spec.id, job->version, now());
                ++stores;
            }
        }
        return stores;
    }

    std::size_t checkpoints{0};
    job_progress stored;
};

// Pattern: all VMs lose their power at once, in the middle of long tasks. Guards against work of
// many seconds that starts from nothing although its tasks had saved it.
TEST_CASE("checkpoints of running tasks are stored while nothing else changes") {
    saving_vms vms;
    CHECK(vms.count_stores(milliseconds(3000)) >= 2);
    REQUIRE(vms.stored.tasks.size() == 4);
    for (const task_progress& task : vms.stored.tasks) {
        CHECK_FALSE(task.checkpoint.empty());
    }
    // The next leader, after the loss, starts from them.
    played_vms next(2);
    job_spec job = make_plain_job("job", 4);
    job.steps[0].checkpointing = true;
    next.scheduler.add_job(job);
    next.scheduler.restore_progress("job", vms.stored, next.now());
    const std::vector<start_order> starts = next.exchange();
    REQUIRE(starts.size() == 4);
    for (const start_order& start : starts) {
        CHECK(start.checkpoint.rfind("checkpoint-", 0) == 0);
    }
}

// Guards against a call to the store for each report.
TEST_CASE("checkpoints are stored once a second, not with each report") {
    saving_vms vms;
    CHECK(vms.count_stores(milliseconds(10000)) <= 11);
}

} // namespace
} // namespace egretstile
