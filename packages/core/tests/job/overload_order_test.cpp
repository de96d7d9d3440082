#include "contended_vms.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

/// Tasks of a filling job that have room at the same time beside the reserved half of the VM.
constexpr std::uint32_t room = 4;
constexpr int learned_jobs = 10;
/// Time that the tasks take; their estimate is 1,000 ms.
constexpr milliseconds slow_run_time{1600};

/// A VM on which five cores are reserved, so that no filling job may start slowly, and on which
/// filling tasks have taken `slow_run_time`.
class overloaded_vm : public contended_vms {
public:
    explicit overloaded_vm(bool by_contention = true)
        : contended_vms(1, by_contention) {
        job_spec reserving = make_plain_job("reserving", 5);
        reserving.steps[0].long_running = true;
        reserving.steps[0].estimate_ms = 0;
        scheduler.add_job(reserving);
        exchange();
        for (int number = 0; number < learned_jobs; ++number) {
            const job_id id = "learned-" + std::to_string(number);
            add_filling(id, "image", room);
            exchange();
            end_job(id);
            exchange(slow_run_time);
        }
    }

    void end_job(const job_id& id) {
        for (std::uint32_t index = 0; index < room; ++index) {
            end_run("vm-0", {{id, 0, 0, index}, 1}, run_outcome::done);
        }
    }
};

// Load: more wide jobs than room, whose tasks take longer than estimated. Guards against starting
// the earliest objective first although it can't be met any more, while a job that could meet its
// objective waits until it can't either.
TEST_CASE("under overload a job that can still meet its objective starts before one that cannot") {
    overloaded_vm vm;
    vm.add_filling("cannot", "image", room, milliseconds(800));
    vm.add_filling("can", "image", room);
    vm.exchange();
    CHECK(vm.runs_of("can") == room);
    CHECK(vm.runs_of("cannot") == 0);
}

// Guards against a changed order of jobs in deployments that have not asked for the part.
TEST_CASE("without placement by contention the earliest objective starts first") {
    overloaded_vm vm(false);
    vm.add_filling("earlier", "image", room, milliseconds(800));
    vm.add_filling("later", "image", room);
    vm.exchange();
    CHECK(vm.runs_of("earlier") == room);
    CHECK(vm.runs_of("later") == 0);
}

// Failure: tasks are moved between VMs and resume from checkpoints. Guards against run times that
// look short because an earlier run did a part of the work.
TEST_CASE("the run time of a task that resumed from a checkpoint is not learned") {
    overloaded_vm vm;
    const double learned = vm.scheduler.run_times().ratio("queue");
    REQUIRE(learned > 1.3);
    job_spec job = make_plain_job("resumed", 1);
    job.steps[0].fills_idle_cpu = true;
    job.steps[0].checkpointing = true;
    vm.scheduler.add_job(job);
    vm.exchange();
    vm_report& report = vm.reports.at("vm-0");
    vm.end_run("vm-0", {{"resumed", 0, 0, 0}, 1}, run_outcome::stopped);
    report.ended.back().checkpoint = "half";
    vm.exchange();
    REQUIRE(vm.runs_of("resumed") == 1);
    vm.end_run("vm-0", {{"resumed", 0, 0, 0}, 2}, run_outcome::done);
    vm.exchange();
    CHECK(vm.scheduler.visible_state("resumed") == job_state::running);
    CHECK(vm.runs_of("resumed") == 0);
    CHECK(vm.scheduler.run_times().ratio("queue") == learned);
}

} // namespace
} // namespace egretstile
