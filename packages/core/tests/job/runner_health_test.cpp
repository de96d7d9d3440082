#include <egretstile/core/job/runner_health.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace egretstile {
namespace {

constexpr milliseconds estimate(2000);

task_attempt attempt_of(const job_id& job, std::uint32_t index = 0, attempt_number attempt = 1) {
    return {{job, 0, 0, index}, attempt};
}

/// The health of eight VMs of one service, and a clock.
class tracked_health {
public:
    tracked_health() {
        for (int number = 0; number < 8; ++number) {
            report("vm-" + std::to_string(number));
        }
    }

    std::vector<health_change> report(const vm_name& vm, std::uint32_t done = 0,
                                      std::uint32_t failed = 0, const std::string& life = "@1") {
        runner_registration runner;
        runner.instance = vm + life;
        runner.service = "service";
        return health.note_report(vm, runner, done, failed, now);
    }

    /// Starts a run that ends after `length`, and judges the VM.
    std::vector<health_change> end_run(const vm_name& vm, const task_attempt& run,
                                       run_outcome outcome, milliseconds length) {
        health.note_start(vm, run, now);
        now += length;
        std::vector<health_change> changes = health.note_end(vm, run, outcome, estimate, now);
        now += milliseconds(300);
        for (const health_change& change : health.judge(vm, 8, now)) {
            changes.push_back(change);
        }
        return changes;
    }

    void fail_quickly(const vm_name& vm, const job_id& job, std::uint32_t index = 0) {
        end_run(vm, attempt_of(job, index), run_outcome::failed, milliseconds(100));
    }

    void make_suspect(const vm_name& vm) {
        for (int number = 0; number < 4; ++number) {
            fail_quickly(vm, vm + "-job-" + std::to_string(number));
        }
        REQUIRE(health.health_of(vm).suspect);
    }

    health_demand demand() const {
        health_demand demand;
        demand.enabled = true;
        demand.now = now;
        demand.may_be_trial = true;
        demand.limits_open_starts = true;
        return demand;
    }

    health_verdict verdict(const vm_name& vm, const health_demand& demand) const {
        return judge_start(health.health_of(vm), vm, demand);
    }

    runner_health health;
    boot_time now{std::chrono::seconds(100)};
};

// Guards against a VM that becomes suspect after many runs only.
TEST_CASE("quick failures of several jobs make a VM suspect") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    CHECK_FALSE(vms.health.health_of("vm-1").suspect);
}

// Guards against a VM that one faulty job makes suspect.
TEST_CASE("failures of one job do not make a VM suspect") {
    tracked_health vms;
    for (std::uint32_t index = 0; index < 20; ++index) {
        vms.fail_quickly("vm-0", "job", index);
    }
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
    // It still gets runs one by one, with pauses, because it may be at fault.
    CHECK(vms.health.health_of("vm-0").max_open_starts == 1);
    CHECK(vms.health.health_of("vm-0").paused_until > boot_time());
}

// Guards against sound VMs that faulty jobs make suspect although these fail on other VMs, too.
TEST_CASE("failures of steps that fail elsewhere do not make a VM suspect") {
    tracked_health vms;
    for (std::uint32_t number = 0; number < 6; ++number) {
        const job_id job = "job-" + std::to_string(number);
        vms.fail_quickly("vm-" + std::to_string(1 + number), job, 1);
        vms.fail_quickly("vm-0", job);
    }
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
}

// Guards against a success that is ignored, and against one of an earlier run that counts although
// the runner began to fail after its start.
TEST_CASE("a run refutes the failures of runs that started before it") {
    tracked_health vms;
    vms.health.note_start("vm-0", attempt_of("early"), vms.now);
    vms.now += milliseconds(10);
    for (const char* const job : {"a", "b", "c"}) {
        vms.fail_quickly("vm-0", job);
    }
    SECTION("a later run") {
        vms.end_run("vm-0", attempt_of("late"), run_outcome::done, milliseconds(1000));
        CHECK(vms.health.health_of("vm-0").quick_failures == 0);
        vms.fail_quickly("vm-0", "d");
        CHECK_FALSE(vms.health.health_of("vm-0").suspect);
    }
    SECTION("an earlier run") {
        vms.health.note_end("vm-0", attempt_of("early"), run_outcome::done, estimate, vms.now);
        CHECK(vms.health.health_of("vm-0").quick_failures == 3);
        vms.fail_quickly("vm-0", "d");
        CHECK(vms.health.health_of("vm-0").suspect);
    }
    SECTION("a later run that has survived its start") {
        vms.health.note_start("vm-0", attempt_of("late"), vms.now);
        vms.now += milliseconds(300);
        vms.health.note_active("vm-0", attempt_of("late"), vms.now);
        CHECK(vms.health.health_of("vm-0").quick_failures == 0);
    }
}

// Guards against sound VMs that become suspect because single runs fail by chance.
TEST_CASE("five percent of chance failures make no VM suspect") {
    tracked_health vms;
    std::mt19937 random(7);
    std::uniform_int_distribution<int> percent(0, 99);
    std::size_t failed = 0;
    for (std::uint32_t number = 0; number < 20000; ++number) {
        const vm_name vm = "vm-0";
        const bool fails = percent(random) < 5;
        failed += fails ? 1 : 0;
        vms.end_run(vm, attempt_of("job-" + std::to_string(number)),
                    fails ? run_outcome::failed : run_outcome::done,
                    fails ? milliseconds(percent(random) * 20) : estimate);
        REQUIRE_FALSE(vms.health.health_of(vm).suspect);
    }
    CHECK(failed > 800);
}

// Guards against late ends, as from a delayed report, that count as quick failures.
TEST_CASE("failures that are reported late do not count as quick") {
    tracked_health vms;
    for (const char* const job : {"a", "b", "c", "d"}) {
        vms.end_run("vm-0", attempt_of(job), run_outcome::failed, milliseconds(1500));
    }
    CHECK(vms.health.health_of("vm-0").quick_failures == 0);
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
}

// Guards against many trials on a VM that goes on failing, and against pauses that grow without
// bound, after which a repaired VM would stay out of use.
TEST_CASE("trials run one at a time and their pauses double up to a bound") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    const boot_time first = vms.health.health_of("vm-0").trial_at;
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::suspect);
    vms.now = first;
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::may_start);
    health_demand last_attempt = vms.demand();
    last_attempt.may_be_trial = false;
    CHECK(vms.verdict("vm-0", last_attempt) == health_verdict::suspect);
    for (const int pause_s : {2, 4, 8, 16, 16, 16}) {
        vms.now = vms.health.health_of("vm-0").trial_at;
        const task_attempt run =
            attempt_of("trial-" + std::to_string(vms.now.time_since_epoch().count()));
        vms.health.note_start("vm-0", run, vms.now);
        CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::suspect);
        vms.health.note_end("vm-0", run, run_outcome::failed, estimate, vms.now);
        CHECK(vms.health.health_of("vm-0").trial_at - vms.now == std::chrono::seconds(pause_s));
    }
}

// Guards against a repaired VM that stays out of use, and against one good run of a VM that fails
// most of its runs.
TEST_CASE("two good trials in a row restore trust") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    const auto run_trial = [&vms](const job_id& job, run_outcome outcome) {
        vms.now = std::max(vms.now, vms.health.health_of("vm-0").trial_at);
        return vms.end_run("vm-0", attempt_of(job), outcome, milliseconds(1000));
    };
    CHECK(run_trial("t1", run_outcome::done).empty());
    CHECK(run_trial("t2", run_outcome::failed).empty());
    CHECK(run_trial("t3", run_outcome::done).empty());
    const std::vector<health_change> changes = run_trial("t4", run_outcome::done);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].suspect);
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
}

// Guards against a trial without an end, after which no other trial would start.
TEST_CASE("a trial that is given up makes room for the next one") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    vms.now = vms.health.health_of("vm-0").trial_at;
    vms.health.note_start("vm-0", attempt_of("trial"), vms.now);
    vms.health.note_dropped("vm-0", attempt_of("trial"), vms.now);
    CHECK_FALSE(vms.health.health_of("vm-0").has_trial);
    vms.now = vms.health.health_of("vm-0").trial_at;
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::may_start);
}

// Guards against a deadlock: the tasks that wait may not be trials, so no trial ever comes.
TEST_CASE("suspicion ends when tasks wait and none may be the trial") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    vms.now = vms.health.health_of("vm-0").trial_at + std::chrono::seconds(20);
    CHECK(vms.health.end_overdue_suspicion("vm-0", vms.now).empty());
    vms.health.note_waiting("service", vms.now);
    CHECK(vms.health.end_overdue_suspicion("vm-0", vms.now).size() == 1);
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
}

// Guards against a restarted runner that inherits the suspicion of the former one.
TEST_CASE("a new instance is trusted and is not proven") {
    tracked_health vms;
    vms.end_run("vm-0", attempt_of("good"), run_outcome::done, estimate);
    CHECK(vms.health.health_of("vm-0").proven_until > vms.now);
    vms.make_suspect("vm-0");
    CHECK(vms.report("vm-0", 0, 0, "@2").size() == 1);
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
    CHECK(vms.health.health_of("vm-0").proven_until == boot_time());
}

// Guards against a fault that takes more than a quarter of a service out of use, and against a
// common cause for which single VMs are blamed.
TEST_CASE("at most a quarter of the VMs are suspect and none when most fail") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    vms.make_suspect("vm-1");
    for (const char* const vm : {"vm-2", "vm-3"}) {
        for (int number = 0; number < 4; ++number) {
            vms.fail_quickly(vm, std::string(vm) + std::to_string(number));
        }
        CHECK_FALSE(vms.health.health_of(vm).suspect);
    }
    CHECK(vms.health.health_of("vm-0").suspect);
    for (int number = 0; number < 4; ++number) {
        vms.fail_quickly("vm-4", "five-" + std::to_string(number));
    }
    for (int number = 0; number < 8; ++number) {
        CHECK_FALSE(vms.health.health_of("vm-" + std::to_string(number)).suspect);
    }
}

// Guards against a service of one VM that can no longer run anything.
TEST_CASE("the only VM of a service is never suspect") {
    runner_health health;
    runner_registration runner;
    runner.instance = "vm@1";
    boot_time now(std::chrono::seconds(1));
    health.note_report("vm", runner, 0, 9, now);
    CHECK(health.judge("vm", 1, now).empty());
    CHECK_FALSE(health.health_of("vm").suspect);
}

// Guards against a new leader that has to lose attempts to find the VMs that fail.
TEST_CASE("the first report of a VM with many failed and no good runs makes it suspect") {
    tracked_health vms;
    vms.report("new-1", 0, 4);
    CHECK(vms.health.judge("new-1", 8, vms.now).size() == 1);
    vms.report("new-2", 1, 9);
    CHECK(vms.health.judge("new-2", 8, vms.now).empty());
    CHECK(vms.health.health_of("new-2").proven_until > vms.now);
    vms.report("new-3", 0, 3);
    CHECK(vms.health.judge("new-3", 8, vms.now).empty());
    // Later reports repeat ends that this leader has applied itself.
    vms.report("vm-0", 0, 9);
    CHECK(vms.health.judge("vm-0", 8, vms.now).empty());
}

// Guards against a new leader that forgets what the reports of failing VMs said, because these
// arrived before those of the other VMs.
TEST_CASE("failing VMs that report first are suspect once others have reported") {
    tracked_health vms;
    vms.report("new-1", 0, 12);
    CHECK(vms.health.judge("new-1", 1, vms.now).empty());
    CHECK(vms.health.judge("new-1", 2, vms.now).size() == 1);
    vms.report("new-2", 0, 12);
    // Two of three ready VMs fail.
    const std::vector<health_change> changes = vms.health.judge("new-2", 3, vms.now);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].suspect);
    CHECK(vms.health.judge("new-1", 8, vms.now).size() == 1);
    CHECK(vms.health.judge("new-2", 8, vms.now).size() == 1);
    CHECK(vms.health.health_of("new-1").suspect);
    CHECK(vms.health.health_of("new-2").suspect);
}

// Guards against a VM that takes a whole batch of tasks before its first ends are reported.
TEST_CASE("an unproven VM gets few runs until some have survived their start") {
    tracked_health vms;
    for (std::uint32_t index = 0; index < 4; ++index) {
        CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::may_start);
        vms.health.note_start("vm-0", attempt_of("job", index), vms.now);
    }
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::unproven);
    vms.health.note_active("vm-0", attempt_of("job", 0), vms.now + milliseconds(100));
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::unproven);
    vms.health.note_active("vm-0", attempt_of("job", 0), vms.now + milliseconds(250));
    CHECK(vms.verdict("vm-0", vms.demand()) == health_verdict::may_start);
}

// Guards against the last attempt of a task on a VM that has shown no success, or a failure of this
// task.
TEST_CASE("a task that needs a proven VM is refused others") {
    tracked_health vms;
    health_demand demand = vms.demand();
    demand.needs_proof = true;
    CHECK(vms.verdict("vm-0", demand) == health_verdict::unproven);
    vms.end_run("vm-0", attempt_of("good"), run_outcome::done, estimate);
    demand.now = vms.now;
    CHECK(vms.verdict("vm-0", demand) == health_verdict::may_start);
    demand.failed_vms = {"vm-0"};
    CHECK(vms.verdict("vm-0", demand) == health_verdict::may_start);
    demand.refuses_failed_vms = true;
    CHECK(vms.verdict("vm-0", demand) == health_verdict::unproven);
    demand.refuses_failed_vms = false;
    demand.now = vms.now + std::chrono::seconds(10);
    CHECK(vms.verdict("vm-0", demand) == health_verdict::unproven);
}

// Guards against records of VMs that are gone, which would grow without bound.
TEST_CASE("the record of a removed VM is removed") {
    tracked_health vms;
    vms.make_suspect("vm-0");
    vms.health.remove_vm("vm-0");
    CHECK(vms.health.record_count() == 7);
    CHECK_FALSE(vms.health.health_of("vm-0").suspect);
    CHECK_FALSE(vms.health.is_failing("vm-0", vms.now));
}

} // namespace
} // namespace egretstile
