#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

/// One VM whose agent reports what the test sets, and carries out no order by itself.
class manual_agent : public simulated_vms {
public:
    manual_agent()
        : simulated_vms(1) {
        exchange();
    }

    vm_report& report() { return reports.begin()->second; }

    /// Advances the time, applies the report and returns the starts that follow. Reported
    /// rejections are removed afterwards.
    std::vector<start_order> report_once(milliseconds pause = milliseconds(100)) {
        time += pause;
        scheduler.confirm_leadership(now());
        scheduler.confirm_closed_domains(now());
        ++report().sequence;
        scheduler.apply_report(report(), now());
        report().rejected.clear();
        scheduler.schedule(now(), time.count());
        const vm_orders orders = scheduler.take_orders(report().vm, report().sequence);
        report().applied_order_number = std::max(report().applied_order_number, orders.number);
        return orders.starts;
    }

    /// Submits a job of one task and returns the ordered start.
    task_attempt order_job(const job_id& id) {
        scheduler.add_job(make_plain_job(id, 1));
        const std::vector<start_order> starts = report_once();
        REQUIRE(starts.size() == 1);
        return starts.front().run;
    }

    bool counts_as_started(const job_id& id) const {
        const bool pending = scheduler.pending("queue") == 1;
        CHECK(pending == (scheduler.visible_state(id) == job_state::queued));
        return !pending;
    }
};

} // namespace

// Guards against callers that are told that no job waits, while the starts of all jobs are ordered
// and rejected again and again.
TEST_CASE("a job whose ordered starts are rejected counts as pending") {
    manual_agent agent;
    task_attempt run = agent.order_job("job");
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK_FALSE(agent.counts_as_started("job"));
        agent.report().rejected.push_back({run, "stopped_before_start"});
        agent.report_once();
        const std::vector<start_order> starts = agent.report_once();
        REQUIRE(starts.size() == 1);
        run = starts.front().run;
    }
    CHECK_FALSE(agent.counts_as_started("job"));
}

// Guards against jobs that are missing from the number of waiting ones because their starts are
// ordered and nobody knows whether a runner will begin them.
TEST_CASE("a job whose starts are not confirmed counts as pending") {
    manual_agent agent;
    const task_attempt run = agent.order_job("job");
    SECTION("the runner has not answered the start") {
        agent.report().starting = {run};
        agent.report_once();
    }
    SECTION("the runner has ended") {
        agent.report().runner_end = runner_end_evidence::connection_refused;
        agent.report_once();
    }
    SECTION("the VM is silent beyond its permission") {
        agent.time += milliseconds(9000);
        agent.scheduler.confirm_leadership(agent.now());
        agent.scheduler.schedule(agent.now(), agent.time.count());
    }
    CHECK_FALSE(agent.counts_as_started("job"));
    CHECK(progress_of(*agent.scheduler.jobs().find("job")).state == job_state::queued);
}

// Guards against a start that is adopted by a new leader before any runner has begun it.
TEST_CASE("an unanswered start of an earlier leader does not make a job count as started") {
    manual_agent agent;
    agent.scheduler.add_job(make_plain_job("job", 1));
    agent.report().starting = {{{"job", 0, 0, 0}, 1}};
    CHECK(agent.report_once().empty());
    CHECK_FALSE(agent.counts_as_started("job"));
}

// Guards against a job that is counted as pending, or shown as queued, after a runner has begun a
// task of it, whatever becomes of the run and of the leader.
TEST_CASE("a job counts as started once a runner lists one of its runs") {
    manual_agent agent;
    const task_attempt run = agent.order_job("job");
    SECTION("as active, until the runner is lost") {
        agent.report().active = {{run, "", 0, 0}};
        agent.report_once();
        CHECK(agent.counts_as_started("job"));
        agent.report().active.clear();
        agent.report().runner_end = runner_end_evidence::connection_refused;
        agent.report_once();
    }
    SECTION("as stopped, without having been listed before") {
        agent.report().ended = {{1, run, run_outcome::stopped, ""}};
        agent.report_once();
        // The runner keeps the end until the start that it shows is stored.
        CHECK(agent.scheduler.take_orders(agent.report().vm, 0).acknowledged_ends == 0);
        const std::vector<job_entry*> unstored = agent.scheduler.changed_jobs(10);
        REQUIRE(unstored.size() == 1);
        CHECK(progress_of(*unstored.front()).state == job_state::running);
    }
    SECTION("as failed") {
        agent.report().ended = {{1, run, run_outcome::failed, ""}};
        agent.report_once();
    }
    CHECK(agent.counts_as_started("job"));
    // The interval of the scheduler for progress that need not be stored at once.
    agent.report_once(scheduler_settings().checkpoint_interval);
    const std::vector<job_entry*> changed = agent.scheduler.changed_jobs(10);
    REQUIRE(changed.size() == 1);
    const job_progress stored = progress_of(*changed.front());
    manual_agent next;
    next.scheduler.add_job(make_plain_job("job", 1));
    next.scheduler.restore_progress("job", stored, next.now());
    CHECK(next.counts_as_started("job"));
}

} // namespace egretstile
