#include "played_vms.hpp"

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

/// Fills all VMs of `played_vms(1)` for an occurrence.
job_spec make_scheduled(const job_id& id, std::int64_t first_due_ms) {
    job_spec job = make_plain_job(id, 10);
    job.accepted_at_ms = 0;
    job.schedule.first_due_ms = first_due_ms;
    job.schedule.interval_ms = 10000;
    job.schedule.repetitions = 3;
    return job;
}

// Guards against jobs at set times that pass those that wait longer, because they were handed in
// long before.
TEST_CASE("an occurrence is ordered by its own time, not by the time of the job's acceptance") {
    played_vms vms(1);
    vms.time = milliseconds(20000);
    vms.exchange();
    job_spec waiting = make_plain_job("b-waiting", 10);
    waiting.accepted_at_ms = 19500;
    vms.scheduler.add_job(make_scheduled("a-scheduled", 20000));
    vms.scheduler.add_job(waiting);
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(starts.size() == 10);
    CHECK(starts.front().run.task.job == "b-waiting");
}

// Guards against an occurrence that starts before its time, or waits for the one before it.
TEST_CASE("occurrences start at their times and may overlap") {
    played_vms vms(3);
    vms.exchange();
    vms.scheduler.add_job(make_scheduled("job", 2000));
    vms.time = milliseconds(1800);
    CHECK(vms.exchange(milliseconds(100)).empty());
    CHECK(vms.exchange(milliseconds(100)).size() == 10);
    vms.time = milliseconds(11900);
    const std::vector<start_order> second = vms.exchange(milliseconds(100));
    REQUIRE(second.size() == 10);
    CHECK(second.front().run.task.occurrence == 1);
}

// Guards against a step that waits without a trace of the reason in the log.
TEST_CASE("a step that finds no room is noted once, with what was known of the VMs") {
    played_vms vms(1);
    vms.exchange();
    vms.scheduler.add_job(make_plain_job("job", 12));
    vms.exchange();
    vms.exchange();
    std::size_t noted = 0;
    for (const decision& made : vms.decisions) {
        if (made.kind == decision_kind::step_waits) {
            ++noted;
            CHECK(made.fields.find("job=job step=0.0 waiting=2") != std::string::npos);
            CHECK(made.fields.find("usable_vms=1 free_millicores=0") != std::string::npos);
        }
    }
    CHECK(noted == 1);
}

} // namespace
} // namespace egretstile
