#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

/// VMs whose tasks save checkpoints, and a leader whose changes are stored at once.
class checkpointing_vms : public simulated_vms {
public:
    checkpointing_vms()
        : simulated_vms(2) {
        exchange();
        job_spec job = make_plain_job("job", 4);
        job.steps[0].checkpointing = true;
        job.steps[0].estimate_ms = 8000;
        scheduler.add_job(job);
        exchange();
    }

    /// Number of times that the job's progress is stored within `length`, with a new checkpoint in
    /// each report.
    std::size_t count_stores(milliseconds length) {
        std::size_t stores = 0;
        for (milliseconds elapsed(0); elapsed < length; elapsed += milliseconds(100)) {
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

// Pattern: all VMs lose power at the same time, in the middle of long tasks. Guards against tasks
// that lose many seconds of work because their checkpoints were not stored.
TEST_CASE("checkpoints of running tasks are stored while nothing else changes") {
    checkpointing_vms vms;
    CHECK(vms.count_stores(milliseconds(3000)) >= 2);
    REQUIRE(vms.stored.steps.size() == 1);
    REQUIRE(vms.stored.steps.front().resume_points.size() == 4);
    for (const resume_point& point : vms.stored.steps.front().resume_points) {
        CHECK_FALSE(point.checkpoint.empty());
    }
    // The next leader, after the loss of power, starts the tasks from the stored checkpoints.
    simulated_vms next(2);
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

// Guards against one call to the store for each report.
TEST_CASE("checkpoints are stored once a second, not with each report") {
    checkpointing_vms vms;
    CHECK(vms.count_stores(milliseconds(10000)) <= 11);
}

} // namespace
} // namespace egretstile
