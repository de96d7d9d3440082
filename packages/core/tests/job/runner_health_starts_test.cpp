#include "failing_vms.hpp"

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

/// Submits short jobs and, every two seconds, a wide filling job of ten tasks of `cores` each.
void run_mixed_load(failing_vms& vms, milliseconds length, std::int64_t cores = 1) {
    milliseconds next_short = vms.time;
    milliseconds next_filling = vms.time;
    vms.run(length, [&] {
        if (vms.time >= next_short) {
            next_short += milliseconds(200);
            vms.submit_short_job(4);
        }
        if (vms.time >= next_filling) {
            next_filling += milliseconds(2000);
            job_spec job = vms.make_filling_job("job-" + std::to_string(vms.submitted++), 10);
            job.steps[0].estimate_ms = 3000;
            job.steps[0].need.cpu_millicores = cores * 1000;
            vms.add(job);
        }
    });
}

/// Size of filling tasks with which the load exceeds the capacity of eight VMs.
constexpr std::int64_t contended_cores = 7;

// Guards against a VM that fails each task within 60 ms, is therefore always empty, and uses up the
// attempts of job after job.
TEST_CASE("a VM that fails all its runs quickly loses few attempts and fails no job") {
    const std::int64_t cores = GENERATE(std::int64_t(1), contended_cores);
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        failing_vms vms(8, true, seed);
        run_mixed_load(vms, milliseconds(5000), cores);
        vms.failing_share["vm-3"] = 1.0;
        const milliseconds broken_at = vms.time;
        while (!vms.is_suspect("vm-3") && vms.time < broken_at + milliseconds(5000)) {
            run_mixed_load(vms, milliseconds(100), cores);
        }
        INFO("cores " << cores << " seed " << seed);
        CHECK(vms.is_suspect("vm-3"));
        CHECK(vms.failed_on["vm-3"] <= 8);
        const std::size_t before = vms.failed_on["vm-3"];
        run_mixed_load(vms, milliseconds(20000), cores);
        // One trial at a time, after pauses of 1, 2, 4 and 8 s.
        CHECK(vms.failed_on["vm-3"] <= before + 5);
        CHECK(vms.jobs_in(job_state::failed) == 0);
        CHECK(vms.suspects() == 1);
    }
}

// Guards against a part that takes effect without being asked for, and against checks that pass
// although it has no effect.
TEST_CASE("with the part switched off a failing VM is only avoided") {
    failing_vms tracked(8, true);
    tracked.failing_share["vm-3"] = 1.0;
    run_mixed_load(tracked, milliseconds(20000), contended_cores);
    failing_vms baseline(8, false);
    baseline.failing_share["vm-3"] = 1.0;
    run_mixed_load(baseline, milliseconds(20000), contended_cores);
    CHECK(baseline.suspects() == 0);
    CHECK(baseline.count(decision_kind::suspect_vm) == 0);
    CHECK(baseline.count(decision_kind::start_trial) == 0);
    CHECK(baseline.count(decision_kind::avoid_vm) > 0);
    CHECK(tracked.count(decision_kind::avoid_vm) == 0);
    CHECK(tracked.jobs_in(job_state::failed) == 0);
    CHECK(2 * tracked.failed_on["vm-3"] < baseline.failed_on["vm-3"]);
}

// Guards against sound VMs that get no work because a faulty job failed on them.
TEST_CASE("a job that can never succeed makes no VM suspect") {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        failing_vms vms(8, true, seed);
        for (std::uint32_t number = 0; number < 6; ++number) {
            job_spec job = make_plain_job("bad-" + std::to_string(number), 10);
            job.policy.max_attempts = 4;
            vms.add(job);
            run_mixed_load(vms, milliseconds(3000));
        }
        CHECK(vms.count(decision_kind::suspect_vm) == 0);
        CHECK(vms.state_of("bad-0") == job_state::failed);
        CHECK(vms.jobs_in(job_state::failed) == 0);
    }
}

// Guards against faulty jobs that run alone, so that no success refutes their failures.
TEST_CASE("jobs that can never succeed make no VM suspect on idle VMs") {
    failing_vms vms(4);
    for (std::uint32_t number = 0; number < 4; ++number) {
        vms.add(make_plain_job("bad-" + std::to_string(number), 8));
    }
    vms.run(milliseconds(30000));
    CHECK(vms.count(decision_kind::suspect_vm) == 0);
    // Their waits for a proven VM end.
    CHECK(vms.state_of("bad-0") == job_state::failed);
    CHECK(vms.state_of("bad-3") == job_state::failed);
}

// Guards against sound VMs that become suspect because single runs fail by chance.
TEST_CASE("chance failures make no VM suspect") {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        failing_vms vms(8, true, seed);
        vms.chance_share = 0.05;
        run_mixed_load(vms, milliseconds(30000));
        CHECK(vms.failed_runs > 10);
        CHECK(vms.count(decision_kind::suspect_vm) == 0);
    }
}

// Guards against a part that does nothing when the VM fails only some of its runs.
TEST_CASE("a VM that fails most of its runs becomes suspect") {
    failing_vms vms(8);
    vms.failing_share["vm-3"] = 0.8;
    run_mixed_load(vms, milliseconds(20000));
    CHECK(vms.count(decision_kind::suspect_vm) >= 1);
    CHECK(vms.jobs_in(job_state::failed) == 0);
}

// Guards against an outage that all VMs share, in which tasks would use up their attempts within a
// second, and against a service of which every VM is suspect.
TEST_CASE("when runs fail on all VMs none is singled out and tasks keep their last attempts") {
    failing_vms vms(8);
    for (const auto& [name, report] : vms.reports) {
        vms.failing_share[name] = 1.0;
    }
    for (std::uint32_t number = 0; number < 4; ++number) {
        job_spec job = make_plain_job("job-" + std::to_string(vms.submitted++), 4);
        job.policy.target_completion = milliseconds(10000);
        vms.add(job);
    }
    vms.run(milliseconds(8000));
    CHECK(vms.suspects() == 0);
    CHECK(vms.jobs_in(job_state::failed) == 0);
    vms.failing_share.clear();
    vms.run(milliseconds(8000));
    CHECK(vms.jobs_in(job_state::completed) == 4);
}

// Guards against a fault that takes more than a quarter of the service out of use.
TEST_CASE("at most a quarter of the ready VMs are suspect") {
    failing_vms vms(8);
    for (const char* const name : {"vm-0", "vm-1", "vm-2", "vm-3"}) {
        vms.failing_share[name] = 1.0;
    }
    std::size_t most = 0;
    for (int round = 0; round < 100; ++round) {
        run_mixed_load(vms, milliseconds(200));
        most = std::max(most, vms.suspects());
    }
    CHECK(most >= 1);
    CHECK(most <= 2);
}

// Guards against a repaired VM that stays out of use.
TEST_CASE("a suspect VM is trusted after good trials and with a new instance") {
    failing_vms vms(8);
    vms.failing_share["vm-3"] = 1.0;
    run_mixed_load(vms, milliseconds(8000));
    REQUIRE(vms.is_suspect("vm-3"));
    SECTION("good trials") {
        vms.failing_share.clear();
        run_mixed_load(vms, milliseconds(16000));
        CHECK(vms.count(decision_kind::start_trial) >= 2);
    }
    SECTION("new instance") {
        vms.failing_share.clear();
        vms.reports.at("vm-3").runner.instance = "vm-3@2";
        vms.reports.at("vm-3").active.clear();
        vms.reports.at("vm-3").ended.clear();
        run_mixed_load(vms, milliseconds(600));
    }
    CHECK_FALSE(vms.is_suspect("vm-3"));
    CHECK(vms.count(decision_kind::trust_vm) == 1);
}

} // namespace
} // namespace egretstile
