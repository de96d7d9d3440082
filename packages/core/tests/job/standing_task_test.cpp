#include "played_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace egretstile {
namespace {

constexpr milliseconds report_interval(250);
constexpr std::uint32_t estimate_ms = 2000;

/// VMs that work at given speeds on tasks that take two seconds on a sound one.
class working_vms : public played_vms {
public:
    explicit working_vms(std::size_t count)
        : played_vms(count) {
        exchange();
    }

    void set_speed(const vm_name& vm, double speed) { speeds_[vm] = speed; }

    /// Lets the VMs work and report; returns the starts.
    std::vector<start_order> work(milliseconds length) {
        std::vector<start_order> starts;
        for (milliseconds past(0); past < length; past += report_interval) {
            for (auto& [name, report] : reports) {
                advance(name, report);
            }
            const std::vector<start_order> now = exchange(report_interval);
            starts.insert(starts.end(), now.begin(), now.end());
        }
        return starts;
    }

    /// A steady load: a job of so many tasks at each step of time.
    std::vector<start_order> work_under_load(milliseconds length, std::uint32_t tasks) {
        std::vector<start_order> starts;
        for (milliseconds past(0); past < length; past += report_interval) {
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

// Pattern: tasks on some runners stand still. Guards against jobs that wait for the end of the
// trouble.
TEST_CASE("tasks on a VM that stands still are done elsewhere within seconds") {
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

// Guards against a copy that is spared where the caller allows one: the first run is not given up.
TEST_CASE("a task that may run twice gets a copy beside the run that stands still") {
    working_vms vms(4);
    vms.set_speed("vm-2", 0.0);
    job_spec job = make_plain_job("job", 8);
    job.steps[0].estimate_ms = estimate_ms;
    job.steps[0].speculative = true;
    vms.scheduler.add_job(job);
    vms.work(milliseconds(250));
    const std::size_t standing = vms.active_on("vm-2");
    REQUIRE(standing > 0);
    vms.work(milliseconds(2250));
    CHECK(vms.stops.empty());
    CHECK(vms.active_on("vm-2") == standing);
    vms.work(milliseconds(3000));
    // The copies are done, so the runs that stand still are stopped.
    CHECK(vms.stops.size() == standing);
    CHECK(vms.scheduler.jobs().find("job")->state == job_state::completed);
}

// Guards against moves to and fro of tasks that only work more slowly than estimated.
TEST_CASE("nothing moves while tasks make progress, however slow") {
    working_vms vms(4);
    for (const auto& [name, report] : vms.reports) {
        vms.set_speed(name, 0.4);
    }
    vms.work_under_load(milliseconds(8000), 1);
    CHECK(vms.count_decisions(decision_kind::move_task) == 0);
}

} // namespace
} // namespace egretstile
