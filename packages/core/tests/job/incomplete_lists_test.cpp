#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

/// A new leader that expects a VM of an earlier one, on which a task may have run.
class succeeding_leader {
public:
    succeeding_leader() {
        vm_.lists_complete = false;
        vm_.vm = "vm";
        vm_.epoch = 2;
        vm_.lists_known = true;
        vm_.runner.instance = "runner@1";
        vm_.runner.service = "service";
        vm_.runner.capacity = {10000, 10000, 0};
        vm_.runner.state = runner_state::ready;
        scheduler_.register_vm("vm");
        scheduler_.expect_vm("vm", now() + milliseconds(1000));
        scheduler_.add_job(make_plain_job("job", 1));
    }

    vm_report& report() { return vm_; }

    job_scheduler& scheduler() { return scheduler_; }

    boot_time now() const { return boot_time(time_); }

    /// The VM reports; returns the starts that follow.
    std::vector<start_order> exchange() {
        time_ += milliseconds(500);
        ++vm_.sequence;
        scheduler_.confirm_leadership(now());
        scheduler_.confirm_closed_domains(now());
        scheduler_.apply_report(vm_, now());
        scheduler_.schedule(now(), time_.count());
        return scheduler_.take_orders("vm", vm_.sequence).starts;
    }

private:
    milliseconds time_{1000};
    job_scheduler scheduler_{
        {}, 2, std::make_unique<separating_placer>(), [](const decision& /*made*/) {}};
    vm_report vm_;
};

} // namespace

// Guards against a task that runs twice because its end is beyond the ends that its runner lists,
// and a new leader takes the task for one that no VM has.
TEST_CASE("a new leader starts no earlier task while a VM's lists are incomplete") {
    succeeding_leader leader;
    for (int report = 0; report < 40; ++report) {
        REQUIRE(leader.exchange().empty());
    }
    // The end is listed once earlier ones were acknowledged.
    leader.report().ended = {{600, {{"job", 0, 0, 0}, 1}, run_outcome::done, ""}};
    leader.report().lists_complete = true;
    CHECK(leader.exchange().empty());
    CHECK(leader.scheduler().jobs().unfinished().empty());
}

// Guards against tasks that wait for good for a VM whose lists stay incomplete, after it was lost.
TEST_CASE(
    "a VM that falls silent after incomplete lists is awaited until its permission has ended") {
    succeeding_leader leader;
    leader.exchange();
    leader.report().lists_known = false;
    std::size_t reports = 0;
    while (leader.scheduler().is_recovering() && reports < 100) {
        leader.exchange();
        ++reports;
    }
    CHECK(reports >= 13);
    CHECK(reports < 100);
}

// Guards against tasks that are stopped because incomplete lists leave them out.
TEST_CASE("a run that incomplete lists leave out is not ordered to stop") {
    simulated_vms vms(1);
    vms.scheduler.add_job(make_plain_job("job", 1));
    REQUIRE(vms.exchange().size() == 1);
    vm_report& report = vms.reports.at("vm-0");
    const std::vector<active_run> active = std::exchange(report.active, {});
    report.lists_complete = false;
    vms.exchange();
    vms.exchange();
    CHECK(vms.stops.empty());
    report.lists_complete = true;
    vms.exchange();
    CHECK(vms.stops.size() == 1);
}

// Pattern: many short tasks while the store is down. Guards against more unacknowledged ends on a
// runner than it lists at a time, so that it can't be told which of its tasks have run.
TEST_CASE("a VM gets no start while its runs and unacknowledged ends fill the runner's list") {
    simulated_vms vms(1);
    vms.reports.at("vm-0").runner.capacity = {1000 * max_listed_ends * 2, 10000, 0};
    vms.scheduler.add_job(make_plain_job("job", max_listed_ends * 2));
    std::size_t started = 0;
    for (int round = 0; round < 5; ++round) {
        for (const start_order& order : vms.exchange()) {
            ++started;
            vms.end_run("vm-0", order.run, run_outcome::done);
        }
    }
    CHECK(started == max_listed_ends);
    for (job_entry* const job : vms.scheduler.changed_jobs(1)) {
        vms.scheduler.mark_stored(job->spec.id, job->version, vms.now());
    }
    CHECK(vms.exchange().size() == max_listed_ends);
}

} // namespace egretstile
