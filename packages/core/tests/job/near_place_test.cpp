#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

scheduler_settings with_remote_factor(double factor) {
    scheduler_settings settings;
    settings.remote_factor = factor;
    settings.restore_time = milliseconds(50);
    return settings;
}

/// A job whose tasks of one core and 1 s have their data on `rack-0`.
job_spec make_near_job(const job_id& id, std::uint32_t count, const simulated_vms& vms) {
    job_spec job = make_plain_job(id, count);
    job.steps[0].preferred_rack = "rack-0";
    job.accepted_at_ms = vms.time.count();
    return job;
}

/// Occupies the whole rack with runs that are expected to end `estimate_ms` after now.
std::vector<start_order> fill_rack(simulated_vms& vms, std::uint32_t estimate_ms) {
    job_spec job = make_plain_job("fill", 20);
    job.steps[0].preferred_rack = "rack-0";
    job.steps[0].estimate_ms = estimate_ms;
    job.steps[0].image = "fill";
    vms.scheduler.add_job(job);
    std::vector<start_order> starts = vms.exchange(milliseconds(4));
    REQUIRE(starts.size() == 20);
    for (const start_order& order : starts) {
        REQUIRE(vms.reports.at(vms.vm_of(order.run)).runner.rack == "rack-0");
    }
    return starts;
}

void end_one(simulated_vms& vms, const start_order& order) {
    vms.end_run(vms.vm_of(order.run), order.run, run_outcome::done);
}

std::size_t count_on(const simulated_vms& vms, const std::vector<start_order>& starts,
                     const std::string& rack) {
    return static_cast<std::size_t>(
        std::count_if(starts.begin(), starts.end(), [&](const start_order& order) {
            return vms.reports.at(vms.vm_of(order.run)).runner.rack == rack;
        }));
}

std::size_t count_of(const simulated_vms& vms, decision_kind kind) {
    return static_cast<std::size_t>(
        std::count_if(vms.decisions.begin(), vms.decisions.end(),
                      [kind](const decision& made) { return made.kind == kind; }));
}

// Guards against runs away from the data although the near rack has room: the cost of the filling
// tasks there, 1.6 times the processor time of each VM, exceeds that of remote data.
TEST_CASE("a near VM with room is chosen although other VMs are preferred by their load") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    job_spec filling = make_near_job("filling", 32, vms);
    filling.steps[0].fills_idle_cpu = true;
    vms.scheduler.add_job(filling);
    REQUIRE(count_on(vms, vms.exchange(), "rack-0") == 32);
    job_spec serving = make_near_job("serving", 2, vms);
    serving.steps[0].target_latency_ms = 1000;
    vms.scheduler.add_job(serving);
    CHECK(count_on(vms, vms.exchange(), "rack-0") == 2);
}

// Guards against filling tasks that start near their data although they would be so slow there that
// they end sooner elsewhere.
TEST_CASE("a filling task starts elsewhere when the near VMs are much slower") {
    simulated_vms vms(4, 2, with_remote_factor(1.5));
    vms.exchange();
    job_spec crowded = make_near_job("crowded", 32, vms);
    crowded.steps[0].fills_idle_cpu = true;
    crowded.steps[0].estimate_ms = 60000;
    vms.scheduler.add_job(crowded);
    REQUIRE(count_on(vms, vms.exchange(), "rack-0") >= 24);
    // A job without runs accepts a slow place while less than half of the processor time is
    // reserved, here one at 0.6 of the full speed; elsewhere it runs at 0.67 of it.
    job_spec filling = make_near_job("filling", 1, vms);
    filling.steps[0].fills_idle_cpu = true;
    filling.steps[0].estimate_ms = 1000;
    vms.scheduler.add_job(filling);
    CHECK(count_on(vms, vms.exchange(), "rack-1") == 1);
}

// Guards against a near place that goes to a job with time to spare, because it comes first in the
// order of the pass, while another job misses its objective without that place.
TEST_CASE("a near place that becomes free goes to the waiting task that needs it most") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    const std::vector<start_order> filled = fill_rack(vms, 400);
    job_spec urgent = make_near_job("urgent", 1, vms);
    urgent.policy.slack_factor = 1.8;
    vms.scheduler.add_job(urgent);
    REQUIRE(vms.exchange().empty());
    REQUIRE(count_of(vms, decision_kind::wait_begins) == 1);
    // Its remote run of 600 ms would be in time, and its objective is the earlier one.
    job_spec relaxed = make_near_job("relaxed", 1, vms);
    relaxed.steps[0].estimate_ms = 300;
    relaxed.policy.slack_factor = 1.0;
    relaxed.policy.target_completion = milliseconds(1000);
    vms.scheduler.add_job(relaxed);
    end_one(vms, filled[0]);
    for (const start_order& order : vms.exchange(milliseconds(4))) {
        const bool near = vms.reports.at(vms.vm_of(order.run)).runner.rack == "rack-0";
        CHECK(near == (order.run.task.job == "urgent"));
    }
    CHECK(vms.scheduler.near_wait_totals().ended_near == 1);
}

// Guards against a remote run of a task whose rack has room a few hundred milliseconds later.
TEST_CASE("a task waits for its rack when a place there is free soon") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    const std::vector<start_order> filled = fill_rack(vms, 400);
    vms.scheduler.add_job(make_near_job("job", 1, vms));
    CHECK(vms.exchange().empty());
    REQUIRE(count_of(vms, decision_kind::wait_begins) == 1);
    CHECK(count_of(vms, decision_kind::step_waits) == 0);
    const job_explanation explained = *vms.scheduler.explain("job", vms.now(), vms.time.count());
    CHECK(explained.steps[0].waits_for == step_wait::near_place);
    CHECK(explained.steps[0].near_rack == "rack-0");
    CHECK(explained.steps[0].near_wait_left_ms > 0);
    end_one(vms, filled[0]);
    const std::vector<start_order> starts = vms.exchange();
    CHECK(count_on(vms, starts, "rack-0") == 1);
    CHECK(vms.scheduler.near_wait_totals().ended_near == 1);
    CHECK(count_of(vms, decision_kind::wait_ends) == 1);
}

// Guards against waits for runs that end later than a remote run would.
TEST_CASE("a task starts elsewhere at once when its rack has room late or never") {
    for (const std::uint32_t estimate_ms : {5000U, 0U}) {
        simulated_vms vms(4, 2, with_remote_factor(2.0));
        vms.exchange();
        fill_rack(vms, estimate_ms);
        vms.scheduler.add_job(make_near_job("job", 1, vms));
        CHECK(count_on(vms, vms.exchange(), "rack-1") == 1);
        CHECK(count_of(vms, decision_kind::wait_begins) == 0);
    }
}

// Guards against waits without end for runs that take longer than estimated: the objective is 2 s
// after the acceptance, so waiting is of no use after 1 s.
TEST_CASE("a wait for runs that do not end is bounded by the objective") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    fill_rack(vms, 300);
    vms.scheduler.add_job(make_near_job("job", 1, vms));
    const milliseconds accepted = vms.time;
    std::vector<start_order> starts = vms.exchange(milliseconds(4));
    REQUIRE(count_of(vms, decision_kind::wait_begins) == 1);
    while (starts.empty()) {
        starts = vms.exchange(milliseconds(20));
        REQUIRE(vms.time - accepted < milliseconds(2000));
    }
    CHECK(vms.time - accepted <= milliseconds(1020));
    CHECK(count_on(vms, starts, "rack-1") == 1);
    CHECK(vms.scheduler.near_wait_totals().ended_remote == 1);
}

// Guards against a task that waits for its rack and keeps the other tasks of its step from
// starting.
TEST_CASE("a waiting task does not keep other tasks from starting") {
    simulated_vms vms(6, 2, with_remote_factor(2.0));
    vms.exchange();
    const std::vector<start_order> filled = fill_rack(vms, 400);
    // Three places are free again soon, and again one run time later.
    vms.scheduler.add_job(make_near_job("job", 40, vms));
    const std::vector<start_order> starts = vms.exchange();
    const std::size_t waiting = count_of(vms, decision_kind::wait_begins);
    CHECK(waiting == 20);
    CHECK(starts.size() == 20);
    CHECK(count_on(vms, starts, "rack-0") == 0);
    vms.scheduler.add_job(make_plain_job("anywhere", 5));
    CHECK(vms.exchange().size() == 5);
    for (std::size_t k = 0; k < 7; ++k) {
        end_one(vms, filled[k]);
    }
    CHECK(count_on(vms, vms.exchange(), "rack-0") == 7);
}

// Guards against waits for a rack on which nothing can start any more.
TEST_CASE("a wait ends at once when its rack is closed, draining or silent") {
    for (const std::string cause : {"closed", "draining", "lapsed"}) {
        simulated_vms vms(4, 2, with_remote_factor(2.0));
        vms.reports.at("vm-0").runner.failure_domain = "first";
        vms.reports.at("vm-1").runner.failure_domain = "first";
        vms.exchange();
        fill_rack(vms, 400);
        vms.scheduler.add_job(make_near_job("job", 1, vms));
        REQUIRE(vms.exchange().empty());
        REQUIRE(count_of(vms, decision_kind::wait_begins) == 1);
        if (cause == "closed") {
            vms.scheduler.set_closed_domains({"first"});
        }
        for (const char* const name : {"vm-0", "vm-1"}) {
            if (cause == "draining") {
                vms.reports.at(name).runner.state = runner_state::draining;
            } else if (cause == "lapsed") {
                vms.reports.at(name).runner_end = runner_end_evidence::connection_refused;
                vms.reports.at(name).active.clear();
            }
        }
        INFO(cause);
        vms.exchange(milliseconds(4));
        CHECK(vms.scheduler.near_wait_totals().ended_remote == 1);
    }
}

// Guards against tasks that wait for, or return to, a rack whose VMs fail them.
TEST_CASE("a task starts elsewhere when the VMs of its rack fail their tasks") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    vms.scheduler.add_job(make_near_job("failing", 6, vms));
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(count_on(vms, starts, "rack-0") == 6);
    for (const start_order& order : starts) {
        vms.end_run(vms.vm_of(order.run), order.run, run_outcome::failed);
    }
    vms.exchange();
    const std::vector<start_order> again = vms.exchange();
    CHECK(count_on(vms, again, "rack-1") == 6);
}

// Guards against tasks that all wait for one hot rack or all leave it: the share that starts
// elsewhere must be such that both parts end at about the same time.
TEST_CASE("many jobs for one rack are spread so that the last task ends early") {
    simulated_vms vms(8, 2, with_remote_factor(3.0));
    vms.exchange();
    for (int number = 0; number < 9; ++number) {
        job_spec job = make_near_job("job-" + std::to_string(number), 10, vms);
        job.policy.slack_factor = 10.0;
        vms.scheduler.add_job(job);
    }
    const std::vector<start_order> starts = vms.exchange();
    // The rack runs 20 tasks per second and a remote run takes 3 s: 20 tasks start, 40 wait for
    // the second and the third round, and the others start elsewhere.
    CHECK(count_on(vms, starts, "rack-0") == 20);
    CHECK(count_of(vms, decision_kind::wait_begins) >= 20);
    CHECK(count_of(vms, decision_kind::wait_begins) <= 40);
    CHECK(starts.size() + count_of(vms, decision_kind::wait_begins) == 90);
}

// Guards against a new behaviour of deployments that do not set a remote factor.
TEST_CASE("without a remote factor a task never waits for its rack") {
    simulated_vms vms(4);
    vms.exchange();
    fill_rack(vms, 100);
    vms.scheduler.add_job(make_near_job("job", 1, vms));
    CHECK(count_on(vms, vms.exchange(), "rack-1") == 1);
    CHECK(count_of(vms, decision_kind::wait_begins) == 0);
    CHECK(vms.scheduler.near_wait_totals().begun == 0);
}

// Guards against tasks without data that take the room which waiting tasks need, when another VM
// is as good.
TEST_CASE("a task without data leaves room on a rack that others wait for") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    const std::vector<start_order> filled = fill_rack(vms, 400);
    vms.scheduler.add_job(make_near_job("job", 1, vms));
    REQUIRE(vms.exchange().empty());
    job_spec other = make_plain_job("other", 9);
    other.policy.priority = 0;
    vms.scheduler.add_job(other);
    for (std::size_t k = 0; k < 20; ++k) {
        end_one(vms, filled[k]);
    }
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(starts.size() == 10);
    CHECK(count_on(vms, starts, "rack-0") == 4);
}

// Guards against a gang that starts over several racks just before one rack has the room, and
// against one that waits for a rack which has it too late.
TEST_CASE("a rack-local gang waits for a whole rack only when it then ends sooner") {
    for (const std::uint32_t estimate_ms : {300U, 3000U}) {
        simulated_vms vms(4, 2, with_remote_factor(2.0));
        vms.exchange();
        for (int number = 0; number < 2; ++number) {
            job_spec job = make_plain_job("half-" + std::to_string(number), 10);
            job.steps[0].estimate_ms = estimate_ms;
            job.steps[0].preferred_rack = "rack-" + std::to_string(number);
            job.steps[0].image = "half";
            vms.scheduler.add_job(job);
        }
        const std::vector<start_order> halves = vms.exchange(milliseconds(4));
        REQUIRE(halves.size() == 20);
        job_spec gang = make_plain_job("gang", 15);
        gang.steps[0].gang = true;
        gang.steps[0].rack_local = true;
        gang.accepted_at_ms = vms.time.count();
        vms.scheduler.add_job(gang);
        const std::vector<start_order> at_once = vms.exchange();
        CHECK(at_once.size() == (estimate_ms == 300 ? 0 : 15));
        if (estimate_ms > 300) {
            continue;
        }
        CHECK(count_of(vms, decision_kind::wait_begins) == 1);
        for (const start_order& order : halves) {
            if (order.run.task.job == "half-0") {
                end_one(vms, order);
            }
        }
        const std::vector<start_order> starts = vms.exchange();
        REQUIRE(starts.size() == 15);
        CHECK(count_on(vms, starts, "rack-0") == 15);
        CHECK(vms.scheduler.near_wait_totals().ended_near == 1);
    }
}

/// Starts a task with a checkpoint away from its rack, lets it reach `percent` and frees the rack.
/// Returns whether the task is then moved.
bool is_moved_back(std::uint32_t percent, bool checkpointing) {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    vms.exchange();
    const std::vector<start_order> filled = fill_rack(vms, 9000);
    job_spec job = make_near_job("job", 1, vms);
    job.steps[0].estimate_ms = 4000;
    job.steps[0].checkpointing = checkpointing;
    vms.scheduler.add_job(job);
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(count_on(vms, starts, "rack-1") == 1);
    const vm_name remote = vms.vm_of(starts[0].run);
    vms.exchange();
    active_run& run = vms.reports.at(remote).active.front();
    run.percent = percent;
    run.checkpoint = checkpointing ? "saved" : "";
    vms.exchange();
    for (const start_order& order : filled) {
        end_one(vms, order);
    }
    vms.exchange();
    vms.exchange();
    return count_of(vms, decision_kind::move_near) == 1;
}

// Guards against moves that cost more than they save, and against remote runs that go on although
// the near rack is free and most of their work is left.
TEST_CASE("a remote run is moved back only when it ends sooner near its data") {
    CHECK(is_moved_back(20, true));
    CHECK_FALSE(is_moved_back(80, true));
    // Without a checkpoint the whole run would be repeated.
    CHECK_FALSE(is_moved_back(45, false));
}

// Guards against a new leader that keeps tasks waiting, or never lets them wait, because it has
// learned nothing and does not know when the runs there began.
TEST_CASE("a new leader decides with the configured factor and the reported progress") {
    simulated_vms vms(4, 2, with_remote_factor(2.0));
    job_spec fill = make_plain_job("fill", 20);
    vms.scheduler.add_job(fill);
    for (std::uint32_t index = 0; index < 20; ++index) {
        const task_attempt run{{"fill", 0, 0, index}, 1};
        vms.reports.at(index < 10 ? "vm-0" : "vm-1").active.push_back({run, "", 70, 0});
    }
    vms.scheduler.add_job(make_near_job("job", 1, vms));
    CHECK(vms.exchange().empty());
    CHECK(count_of(vms, decision_kind::wait_begins) == 1);
}

} // namespace
} // namespace egretstile
