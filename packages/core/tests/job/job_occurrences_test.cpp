#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <iterator>

namespace egretstile {
namespace {

constexpr std::int64_t interval_ms = 10000;

job_spec make_schedule(const job_id& id, std::uint32_t tasks, std::uint32_t repetitions) {
    job_spec job = make_plain_job(id, tasks);
    job.schedule = {0, interval_ms, repetitions};
    return job;
}

std::size_t count_open(const simulated_vms& vms, const job_id& id) {
    const job_occurrences& occurrences = vms.scheduler.jobs().find(id)->occurrences;
    return static_cast<std::size_t>(std::distance(occurrences.begin(), occurrences.end()));
}

void end_all_runs(simulated_vms& vms) {
    for (auto& [name, report] : vms.reports) {
        const std::vector<active_run> active = report.active;
        for (const active_run& run : active) {
            vms.end_run(name, run.run, run_outcome::done);
        }
    }
}

} // namespace

// Guards against memory and stored progress that grow with all occurrences of a schedule, instead
// of with those that are under way.
TEST_CASE("a schedule has state only for the occurrences that are under way") {
    simulated_vms vms(1);
    vms.exchange();
    vms.scheduler.add_job(make_schedule("job", 2, 1000000));
    for (std::uint32_t round = 0; round < 20; ++round) {
        vms.time = milliseconds(round * interval_ms + 100);
        vms.exchange();
        vms.exchange();
        CHECK(count_open(vms, "job") == 1);
        end_all_runs(vms);
        vms.exchange();
    }
    const job_progress progress = progress_of(*vms.scheduler.jobs().find("job"));
    CHECK(progress.done == std::vector<occurrence_range>{{0, 19}});
    CHECK(progress.steps.empty());
}

// Guards against a schedule that is far behind its due times and takes the leader's memory.
TEST_CASE("a schedule that is behind opens a bounded number of occurrences, the earliest first") {
    simulated_vms vms(1);
    vms.time = milliseconds(interval_ms * 100000);
    vms.exchange();
    const job_spec schedule = make_schedule("job", 10, 100000);
    vms.scheduler.add_job(schedule);
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(starts.size() == 10);
    CHECK(starts.front().run.task.occurrence == 0);
    CHECK(count_open(vms, "job") == max_open_occurrences(schedule));
    end_all_runs(vms);
    vms.exchange();
    const std::vector<start_order> next = vms.exchange();
    CHECK(count_open(vms, "job") == max_open_occurrences(schedule));
}

// Guards against schedules that take more memory together than the leader has.
TEST_CASE("schedules that are behind share the memory for jobs, and each goes on") {
    scheduler_settings settings;
    settings.job_memory_limit = std::size_t{2} * 1024 * 1024;
    simulated_vms vms(4, 2, settings);
    vms.time = milliseconds(interval_ms * 100000);
    vms.exchange();
    for (int number = 0; number < 20; ++number) {
        vms.scheduler.add_job(make_schedule("job-" + std::to_string(number), 2, 100000));
    }
    vms.exchange();
    vms.exchange();
    for (int number = 0; number < 20; ++number) {
        CHECK(count_open(vms, "job-" + std::to_string(number)) >= 1);
    }
    const std::size_t used = vms.scheduler.jobs().memory_bytes();
    CHECK(used > settings.job_memory_limit / 2);
    CHECK(used <= settings.job_memory_limit);
}

// Guards against a new leader that starts tasks of done occurrences again, or forgets failed
// attempts and checkpoints of those under way.
TEST_CASE("the stored progress of a schedule restores what is done and what is under way") {
    simulated_vms vms(1);
    vms.time = milliseconds(2 * interval_ms + 100);
    vms.exchange();
    const job_spec schedule = make_schedule("job", 3, 4);
    vms.scheduler.add_job(schedule);
    vms.exchange();
    vm_report& report = vms.reports.begin()->second;
    const std::vector<active_run> active = report.active;
    REQUIRE(active.size() == 9);
    for (const active_run& run : active) {
        const task_ref& task = run.run.task;
        if (task.occurrence == 1 || (task.occurrence == 2 && task.index == 0)) {
            vms.end_run(report.vm, run.run, run_outcome::done);
        } else if (task.occurrence == 2 && task.index == 1) {
            vms.end_run(report.vm, run.run, run_outcome::failed);
        }
    }
    for (active_run& run : report.active) {
        run.checkpoint = "checkpoint";
    }
    vms.exchange(milliseconds(50));
    const job_progress stored = progress_of(*vms.scheduler.jobs().find("job"));
    CHECK(stored.done == std::vector<occurrence_range>{{1, 1}});
    job_table next;
    job_entry& job = next.add(schedule, nullptr);
    next.restore(job, stored, vms.now());
    next.update_occurrences(vms.time.count(), scheduler_settings().job_memory_limit);
    CHECK(next.find_task({"job", 1, 0, 0}) == nullptr);
    CHECK(next.find_task({"job", 2, 0, 0})->progress.done);
    CHECK(next.find_task({"job", 2, 0, 1})->progress.failed_attempts.size() == 1);
    CHECK(next.find_task({"job", 2, 0, 2})->progress.checkpoint == "checkpoint");
    CHECK(next.find_task({"job", 0, 0, 0})->progress.checkpoint == "checkpoint");
    CHECK(progress_of(job).done == stored.done);
    CHECK(progress_of(job).steps == stored.steps);
}

// Guards against tasks that run again after an upgrade: records of earlier releases hold a row for
// each task of all occurrences.
TEST_CASE("progress with a row for each task of a schedule is restored") {
    job_progress flat;
    flat.state = job_state::running;
    flat.tasks.resize(12);
    for (std::size_t row = 0; row < 4; ++row) {
        flat.tasks[row].done = true;
    }
    flat.tasks[9].checkpoint = "checkpoint";
    job_table table;
    job_entry& job = table.add(make_schedule("job", 3, 4), nullptr);
    table.restore(job, flat, boot_time());
    CHECK(progress_of(job).done == std::vector<occurrence_range>{{0, 0}});
    CHECK(table.find_task({"job", 1, 0, 0})->progress.done);
    CHECK_FALSE(table.find_task({"job", 1, 0, 1})->progress.done);
    CHECK(table.find_task({"job", 3, 0, 0})->progress.checkpoint == "checkpoint");
}

// Guards against room that is given away while a run of a done occurrence still takes it, and
// against such a run that goes on.
TEST_CASE("a run of a closed occurrence is stopped and counted until it has ended") {
    simulated_vms vms(1);
    vms.exchange();
    vms.scheduler.add_job(make_schedule("job", 1, 5));
    vms.exchange();
    end_all_runs(vms);
    vms.exchange();
    vms.exchange();
    REQUIRE(count_open(vms, "job") == 0);
    vm_report& report = vms.reports.begin()->second;
    const task_attempt late{{"job", 0, 0, 0}, 7};
    report.active.push_back({late, "", 0, 0});
    vms.time += milliseconds(100);
    vms.scheduler.apply_report(report, vms.now());
    CHECK(vms.scheduler.vms().at(report.vm).runs.count(late) == 1);
    vms.exchange();
    CHECK(vms.stops == std::vector<task_attempt>{late});
    vms.exchange();
    CHECK(vms.scheduler.vms().at(report.vm).runs.empty());
}

// Guards against members of a gang that resume from different checkpoints because only some of them
// fitted into the record.
TEST_CASE("resume points of a gang are left out together, the largest ones first") {
    job_spec job = make_plain_job("job", 3);
    job.steps.push_back(job.steps.front());
    job.steps[1].gang = true;
    job_progress progress;
    progress.steps.resize(2);
    progress.steps[0].resume_points = {{0, 1, "small"}, {1, 1, std::string(1000, 'x')}};
    progress.steps[1].step = 1;
    progress.steps[1].resume_points = {{0, 1, "gang"}, {1, 1, "gang"}, {2, 1, "gang"}};
    SECTION("the gang fits") {
        limit_resume_points(progress, job, 200);
        REQUIRE(progress.steps.size() == 2);
        CHECK(progress.steps[0].resume_points == std::vector<resume_point>{{0, 1, "small"}});
        CHECK(progress.steps[1].resume_points.size() == 3);
        CHECK(resume_point_bytes(progress) <= 200);
    }
    SECTION("one member would fit") {
        limit_resume_points(progress, job, 40);
        REQUIRE(progress.steps.size() == 1);
        CHECK(progress.steps[0].resume_points == std::vector<resume_point>{{0, 1, "small"}});
    }
}

} // namespace egretstile
