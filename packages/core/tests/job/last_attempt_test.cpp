#include "failing_vms.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>

namespace egretstile {
namespace {

/// Three VMs of which none is proven, and the job "job" of one task, of whose two attempts the
/// first has failed.
class failed_once : public failing_vms {
public:
    failed_once(double slack_factor, milliseconds target_completion)
        : failing_vms(3)
        , submitted_at(time) {
        for (const auto& [name, report] : reports) {
            failing_share[name] = 1.0;
        }
        job_spec job = make_plain_job("job", 1);
        job.policy.max_attempts = 2;
        job.policy.slack_factor = slack_factor;
        job.policy.target_completion = target_completion;
        add(job);
        while (task().progress.failed_attempts.empty()) {
            run(milliseconds(4));
        }
        failing_share.clear();
        failed_vm = failed_on.begin()->first;
    }

    /// Time from the job's submission to the start of its second attempt; zero: none within 10 s.
    milliseconds second_start() {
        const milliseconds limit = time + milliseconds(10000);
        while (time < limit && !has_run()) {
            run(milliseconds(4));
        }
        return has_run() ? time - submitted_at : milliseconds(0);
    }

    bool has_run() const { return !task().runs.empty(); }

    const job_task& task() const {
        return scheduler.jobs().find("job")->occurrences[0].steps[0].tasks[0];
    }

    milliseconds submitted_at;
    vm_name failed_vm;
};

} // namespace

// Guards against a last attempt on a VM that has shown no success, and against a wait after which
// the job can no longer be in time.
TEST_CASE("a last attempt waits for a proven VM until the job would be late") {
    failed_once vms(2.0, milliseconds(3000));
    // The objective is 5000 ms, and the task takes 1000 ms.
    const milliseconds started = vms.second_start();
    CHECK(started >= milliseconds(3950));
    CHECK(started <= milliseconds(4050));
    CHECK(vms.task().runs[0].vm != vms.failed_vm);
    vms.run(milliseconds(2000));
    CHECK(vms.state_of("job") == job_state::completed);
}

// Guards against a wait without an end for a job that is late anyway.
TEST_CASE("a last attempt of a late job waits for at most 3 s") {
    failed_once vms(0.0, milliseconds(0));
    const milliseconds started = vms.second_start();
    CHECK(started >= milliseconds(3000));
    CHECK(started <= milliseconds(3700));
}

// Guards against a wait that goes on although a VM is proven.
TEST_CASE("a last attempt starts on the first proven VM") {
    failed_once vms(2.0, milliseconds(8000));
    vms.submit_short_job(12);
    const milliseconds started = vms.second_start();
    CHECK(started >= milliseconds(650));
    CHECK(started <= milliseconds(2500));
    CHECK(vms.task().runs[0].vm != vms.failed_vm);
}

// Guards against a deadlock: the only VM with the label has failed the task.
TEST_CASE("a last attempt runs again on the only VM that can take it") {
    failing_vms vms(3);
    vms.reports.at("vm-1").runner.labels = {"label"};
    vms.run(milliseconds(600));
    vms.failing_share["vm-1"] = 1.0;
    job_spec job = make_plain_job("job", 1);
    job.policy.max_attempts = 2;
    job.steps[0].required_label = "label";
    vms.add(job);
    while (vms.failed_runs == 0) {
        vms.run(milliseconds(4));
    }
    vms.failing_share.clear();
    vms.run(milliseconds(6000));
    CHECK(vms.state_of("job") == job_state::completed);
}

// Guards against a deadlock: only tasks without attempts to spare wait, and the only VM that they
// may use is suspect, so no trial would ever restore it.
TEST_CASE("tasks without attempts to spare do not wait forever for a suspect VM") {
    failing_vms vms(4);
    vms.reports.at("vm-1").runner.labels = {"label"};
    vms.failing_share["vm-1"] = 1.0;
    vms.run(milliseconds(600));
    for (int number = 0; number < 6; ++number) {
        job_spec job = make_plain_job("first-" + std::to_string(number), 1);
        job.policy.max_attempts = 10;
        job.steps[0].required_label = "label";
        vms.add(job);
    }
    vms.run(milliseconds(3000));
    REQUIRE(vms.is_suspect("vm-1"));
    for (int number = 0; number < 6; ++number) {
        vms.scheduler.cancel_job("first-" + std::to_string(number));
    }
    vms.failing_share.clear();
    job_spec job = make_plain_job("job", 1);
    job.policy.max_attempts = 1;
    job.steps[0].required_label = "label";
    vms.add(job);
    vms.run(milliseconds(45000));
    CHECK(vms.state_of("job") == job_state::completed);
}

// Guards against a task that waits for a proven VM and holds up the rest of its step, and other
// jobs of the same image.
TEST_CASE("tasks with attempts to spare start while one with a last attempt waits") {
    failing_vms vms(3);
    for (const auto& [name, report] : vms.reports) {
        vms.failing_share[name] = 1.0;
    }
    job_spec job = vms.make_filling_job("job", 1);
    job.policy.target_completion = milliseconds(20000);
    vms.add(job);
    while (vms.failed_runs == 0) {
        vms.run(milliseconds(4));
    }
    vms.failing_share.clear();
    // One task of the step has failed; the others have not started yet.
    job_spec wide = vms.make_filling_job("wide", 6);
    wide.policy.target_completion = milliseconds(20000);
    vms.add(wide);
    job_progress progress;
    progress.state = job_state::running;
    progress.tasks.resize(6);
    progress.tasks[0].failed_attempts = {1};
    progress.tasks[0].last_attempt = 1;
    vms.scheduler.restore_progress("wide", progress, vms.now());
    vms.run(milliseconds(200));
    const step_state& state = vms.scheduler.jobs().find("wide")->occurrences[0].steps[0];
    CHECK(state.waiting == std::set<std::uint32_t>{0});
    CHECK(vms.scheduler.jobs().find("job")->occurrences[0].steps[0].waiting.size() == 1);
    const step_explanation step =
        vms.scheduler.explain("job", vms.now(), vms.time.count())->steps[0];
    CHECK(step.waits_for == step_wait::room);
    CHECK(step.obstacles.at(placement_obstacle::unproven_vm) == 3);
    vms.run(milliseconds(8000));
    CHECK(vms.state_of("wide") == job_state::completed);
    CHECK(vms.state_of("job") == job_state::completed);
}

// Guards against a new leader that has to lose attempts to learn which VMs fail their runs.
TEST_CASE("a new leader learns from the reports which VMs fail") {
    failing_vms vms(0);
    for (int number = 0; number < 8; ++number) {
        const vm_name name = "late-" + std::to_string(number);
        vms.scheduler.register_vm(name);
        vm_report& report = vms.reports[name];
        report.vm = name;
        report.epoch = 1;
        report.lists_known = true;
        report.runner.instance = name + "@1";
        report.runner.service = "service";
        report.runner.capacity = {10000, 10000, 0};
        report.runner.state = runner_state::ready;
        report.recent_done = 5;
    }
    vms.reports.at("late-3").recent_done = 0;
    vms.reports.at("late-3").recent_failed = 12;
    vms.failing_share["late-3"] = 1.0;
    vms.run(milliseconds(600));
    CHECK(vms.is_suspect("late-3"));
    CHECK(vms.suspects() == 1);
    vms.submit_short_job(60);
    vms.run(milliseconds(300));
    CHECK(vms.started_on["late-3"] == 0);
    const std::optional<job_explanation> job =
        vms.scheduler.explain("job-0", vms.now(), vms.time.count());
    CHECK(job->steps[0].running.size() == 60);
}

// Guards against a VM that becomes suspect because its reports are lost or late.
TEST_CASE("late reports do not make a VM suspect") {
    failing_vms vms(8);
    vms.chance_share = 0.05;
    for (int round = 0; round < 10; ++round) {
        vms.silent = "vm-" + std::to_string(round % 8);
        for (int part = 0; part < 10; ++part) {
            vms.submit_short_job(8);
            vms.run(milliseconds(300));
        }
        vms.silent.clear();
        vms.run(milliseconds(600));
    }
    CHECK(vms.failed_runs > 10);
    CHECK(vms.count(decision_kind::suspect_vm) == 0);
}

// Guards against tasks that serve users on a VM that fails its runs.
TEST_CASE("long-running tasks avoid suspect VMs") {
    failing_vms vms(4);
    vms.failing_share["vm-1"] = 1.0;
    for (int number = 0; number < 10; ++number) {
        vms.submit_short_job(8);
        vms.run(milliseconds(300));
    }
    REQUIRE(vms.is_suspect("vm-1"));
    job_spec job = make_plain_job("service-job", 8);
    job.steps[0].long_running = true;
    vms.add(job);
    vms.run(milliseconds(1000));
    const job_entry& entry = *vms.scheduler.jobs().find("service-job");
    for (const job_task& task : entry.occurrences[0].steps[0].tasks) {
        REQUIRE(task.runs.size() == 1);
        CHECK(task.runs[0].vm != "vm-1");
    }
}

} // namespace egretstile
