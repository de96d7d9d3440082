#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace egretstile {
namespace {

constexpr milliseconds report_interval(250);
constexpr std::uint32_t estimate_ms = 2000;

/// VMs with adjustable speeds. Tasks take 2 s on a VM at speed 1.
class working_vms : public simulated_vms {
public:
    explicit working_vms(std::size_t count)
        : simulated_vms(count) {
        exchange();
    }

    void set_speed(const vm_name& vm, double speed) { speeds_[vm] = speed; }

    /// Advances the tasks and exchanges reports and orders for `length`; returns the starts.
    std::vector<start_order> work(milliseconds length) {
        std::vector<start_order> starts;
        for (milliseconds elapsed(0); elapsed < length; elapsed += report_interval) {
            for (auto& [name, report] : reports) {
                advance(name, report);
            }
            const std::vector<start_order> now = exchange(report_interval);
            starts.insert(starts.end(), now.begin(), now.end());
        }
        return starts;
    }

    /// Like `work`, and submits a job of `tasks` tasks in each report interval.
    std::vector<start_order> work_under_load(milliseconds length, std::uint32_t tasks) {
        std::vector<start_order> starts;
        for (milliseconds elapsed(0); elapsed < length; elapsed += report_interval) {
            job_spec job = make_plain_job("load-" + std::to_string(jobs_++), tasks);
            job.steps[0].estimate_ms = estimate_ms;
            job.accepted_at_ms = time.count();
            scheduler.add_job(job);
            const std::vector<start_order> now = work(report_interval);
            starts.insert(starts.end(), now.begin(), now.end());
        }
        return starts;
    }

    std::size_t active_on(const vm_name& vm) const { return reports.at(vm).active.size(); }

    std::size_t count_decisions(decision_kind kind) const {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(),
                          [kind](const decision& made) { return made.kind == kind; }));
    }

private:
    void advance(const vm_name& name, vm_report& report) {
        const auto known = speeds_.find(name);
        const double speed = known == speeds_.end() ? 1.0 : known->second;
        std::vector<task_attempt> done;
        for (active_run& active : report.active) {
            double& progress = progress_[active.run];
            progress += speed * 100.0 * static_cast<double>(report_interval.count()) / estimate_ms;
            active.percent = static_cast<std::uint32_t>(std::min(progress, 100.0));
            if (progress >= 100.0) {
                done.push_back(active.run);
            }
        }
        for (const task_attempt& run : done) {
            end_run(name, run, run_outcome::done);
        }
    }

    std::map<vm_name, double> speeds_;
    std::map<task_attempt, double> progress_;
    std::uint64_t jobs_{0};
};

// Pattern: tasks on some VMs make no progress. Guards against jobs that are not done until these
// VMs recover.
TEST_CASE("tasks on a stalled VM are moved and done on other VMs within seconds") {
    working_vms vms(4);
    vms.set_speed("vm-2", 0.0);
    job_spec job = make_plain_job("job", 8);
    job.steps[0].estimate_ms = estimate_ms;
    vms.scheduler.add_job(job);
    vms.work(milliseconds(250));
    REQUIRE(vms.active_on("vm-2") > 0);
    vms.work(milliseconds(5000));
    CHECK(vms.active_on("vm-2") == 0);
    CHECK(vms.scheduler.jobs().find("job")->state == job_state::completed);
}

// Guards against stopping the stalled run of a speculative task when it is moved: a copy is started
// beside it, because the stalled run may still end first.
TEST_CASE("a stalled speculative task gets a copy and its first run is not stopped") {
    working_vms vms(4);
    vms.set_speed("vm-2", 0.0);
    job_spec job = make_plain_job("job", 8);
    job.steps[0].estimate_ms = estimate_ms;
    job.steps[0].speculative = true;
    vms.scheduler.add_job(job);
    vms.work(milliseconds(250));
    const std::size_t stalled_runs = vms.active_on("vm-2");
    REQUIRE(stalled_runs > 0);
    vms.work(milliseconds(2250));
    CHECK(vms.stops.empty());
    CHECK(vms.active_on("vm-2") == stalled_runs);
    vms.work(milliseconds(3000));
    // The copies are done, so the stalled runs are stopped.
    CHECK(vms.stops.size() == stalled_runs);
    CHECK(vms.scheduler.jobs().find("job")->state == job_state::completed);
}

// Guards against copies that a leader without contact to the store starts of tasks that have ended:
// their VM has gone to another leader, so it is silent here.
TEST_CASE("no copy is started of a task whose VM may report to a later leader") {
    working_vms vms(2);
    job_spec job = make_plain_job("job", 2);
    job.steps[0].speculative = true;
    vms.scheduler.add_job(job);
    vms.work(milliseconds(500));
    REQUIRE(vms.active_on("vm-0") == 1);
    const bool confirmed = GENERATE(true, false);
    for (milliseconds elapsed(0); elapsed < milliseconds(4000); elapsed += report_interval) {
        vms.time += report_interval;
        if (confirmed) {
            vms.scheduler.confirm_leadership(vms.now());
        }
        vm_report& report = vms.reports.at("vm-1");
        ++report.sequence;
        report.active.front().percent += 5;
        vms.scheduler.apply_report(report, vms.now());
        vms.scheduler.schedule(vms.now(), vms.time.count());
    }
    // While the store confirms the leader, the VM has no other, and a copy replaces a lost run.
    CHECK(vms.count_decisions(decision_kind::move_task) == (confirmed ? 1 : 0));
}

// Guards against a task that runs again after its end was acknowledged: the VM that ran it for an
// earlier leader has reported to a later one, and this one, cut off from the store, stops waiting.
TEST_CASE("a leader that is not confirmed does not stop waiting for a VM of an earlier leader") {
    simulated_vms vms(1);
    const bool confirmed = GENERATE(true, false);
    vms.scheduler.expect_vm("vm-of-earlier-leader", vms.now() + milliseconds(3000));
    job_spec job = make_plain_job("job", 1);
    job.accepted_epoch = 0;
    vms.scheduler.add_job(job);
    REQUIRE(vms.exchange().empty());
    vm_report& report = vms.reports.at("vm-0");
    for (milliseconds elapsed(0); elapsed < milliseconds(4000); elapsed += milliseconds(100)) {
        vms.time += milliseconds(100);
        if (confirmed) {
            vms.scheduler.confirm_leadership(vms.now());
        }
        vms.scheduler.confirm_closed_domains(vms.now());
        ++report.sequence;
        vms.scheduler.apply_report(report, vms.now());
        vms.scheduler.schedule(vms.now(), vms.time.count());
    }
    CHECK(vms.scheduler.take_orders("vm-0", 0).starts.size() == (confirmed ? 1 : 0));
}

// Guards against repeated moves of tasks that make progress but are slower than estimated.
TEST_CASE("no task is moved while it makes progress, however slow") {
    working_vms vms(4);
    for (const auto& [name, report] : vms.reports) {
        vms.set_speed(name, 0.4);
    }
    vms.work_under_load(milliseconds(8000), 1);
    CHECK(vms.count_decisions(decision_kind::move_task) == 0);
}

} // namespace
} // namespace egretstile
