#include <egretstile/core/job/run_tracker.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

/// An agent's tracker whose runner is ready and whose first report the leader has answered.
class ready_agent {
public:
    ready_agent() {
        registration.instance = "runner@1";
        registration.state = runner_state::ready;
        tracker.apply_registration(registration);
        tracker.apply_lists({1, {}, {}}, now());
        tracker.make_report("vm", now());
    }

    boot_time now() const { return boot_time(time); }

    /// Applies an order to start one task that is valid for `start_within` after the first report.
    void order_start(milliseconds start_within) {
        vm_orders orders;
        orders.epoch = 1;
        orders.answered_report = 1;
        orders.based_on_report = 1;
        orders.permission_ms = 8000;
        orders.start_within_ms = static_cast<std::uint32_t>(start_within.count());
        orders.number = 1;
        orders.runner_instance = registration.instance;
        start_order order;
        order.run = run;
        orders.starts = {order};
        tracker.apply_orders(orders, now());
    }

    /// Applies an order to stop the task.
    void order_stop() {
        vm_orders orders;
        orders.epoch = 1;
        orders.number = 2;
        orders.runner_instance = registration.instance;
        orders.stops = {run};
        tracker.apply_orders(orders, now());
    }

    /// Sends the ordered start; the runner confirms it when its clock shows `clock_ms`.
    void confirm_start(std::int64_t clock_ms) {
        REQUIRE(tracker.next_start(now()).has_value());
        tracker.start_done(run, clock_ms);
    }

    std::vector<rejected_run> rejected() { return tracker.make_report("vm", now()).rejected; }

    run_tracker tracker;
    runner_registration registration;
    task_attempt run{{"job", 0, 0, 0}, 1};
    milliseconds time{10000};
};

/// Ends of runs of another job, numbered from one.
std::vector<ended_run> ends_of_others(std::size_t count) {
    std::vector<ended_run> ends;
    for (std::uint64_t number = 1; number <= count; ++number) {
        const task_ref task{"other", 0, 0, static_cast<std::uint32_t>(number)};
        ends.push_back({number, {task, 1}, run_outcome::done, ""});
    }
    return ends;
}

} // namespace

// Guards against a task that runs twice because its end is beyond the ends that its runner returns
// at a time, and its run is taken for one that the runner does not have.
TEST_CASE("a run that is not in a full list of ends is not rejected") {
    ready_agent agent;
    agent.order_start(milliseconds(8000));
    agent.confirm_start(5);
    agent.tracker.apply_lists({10, {}, ends_of_others(max_listed_ends), false}, agent.now());
    CHECK(agent.rejected().empty());
}

// Guards against the same after the run was ordered to stop: its end may be beyond the list.
TEST_CASE("a stopped run that is not in a full list of ends is not rejected") {
    ready_agent agent;
    agent.order_start(milliseconds(8000));
    agent.confirm_start(5);
    agent.order_stop();
    REQUIRE(agent.tracker.next_stop() == agent.run);
    agent.tracker.stop_done(agent.run, 7);
    agent.tracker.apply_lists({10, {}, ends_of_others(max_listed_ends), false}, agent.now());
    CHECK(agent.rejected().empty());
}

// Guards against a task that waits for good because the runner has never had its run.
TEST_CASE("a run that is not in a list with room for more ends is rejected") {
    ready_agent agent;
    agent.order_start(milliseconds(8000));
    agent.confirm_start(5);
    agent.tracker.apply_lists({10, {}, ends_of_others(max_listed_ends - 1)}, agent.now());
    const std::vector<rejected_run> rejected = agent.rejected();
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().reason == "not_there");
}

// Guards against a task that starts in a failure domain after it was closed, because the order for
// it was held up on its way or waited in the agent.
TEST_CASE("a start that its leader allowed only for a time is rejected after that time") {
    ready_agent agent;
    agent.order_start(milliseconds(3000));
    agent.time += milliseconds(3000);
    CHECK_FALSE(agent.tracker.next_start(agent.now()).has_value());
    const std::vector<rejected_run> rejected = agent.rejected();
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().reason == "order_too_late");
    agent.order_start(milliseconds(2999));
    CHECK_FALSE(agent.tracker.next_start(agent.now()).has_value());
}

// Guards against a second try of a start on a runner that has announced in the meantime that it is
// draining.
TEST_CASE("a start without an answer is stopped, not tried again, when its runner drains") {
    ready_agent agent;
    agent.order_start(milliseconds(8000));
    REQUIRE(agent.tracker.next_start(agent.now()).has_value());
    agent.registration.state = runner_state::draining;
    agent.tracker.apply_registration(agent.registration);
    agent.tracker.start_unanswered(agent.run);
    CHECK_FALSE(agent.tracker.next_start(agent.now()).has_value());
    CHECK(agent.tracker.next_stop() == agent.run);
}

// Guards against a start that was ordered before its runner announced that it is draining, and is
// sent after it.
TEST_CASE("a start that was not sent yet is rejected when its runner drains") {
    ready_agent agent;
    agent.order_start(milliseconds(8000));
    agent.registration.state = runner_state::draining;
    agent.tracker.apply_registration(agent.registration);
    CHECK_FALSE(agent.tracker.next_start(agent.now()).has_value());
    const std::vector<rejected_run> rejected = agent.rejected();
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().reason == "draining");
}

// Guards against a second try that would start the task after its failure domain was closed; the
// first try may have started it.
TEST_CASE("a start without an answer is stopped, not tried again, after its time") {
    ready_agent agent;
    agent.order_start(milliseconds(1000));
    REQUIRE(agent.tracker.next_start(agent.now()).has_value());
    agent.tracker.start_unanswered(agent.run);
    agent.time += milliseconds(1000);
    CHECK_FALSE(agent.tracker.next_start(agent.now()).has_value());
    CHECK(agent.tracker.next_stop() == agent.run);
    CHECK(agent.rejected().empty());
}

// Guards against a new leader that learns nothing of earlier ends, and against ends that count
// twice, for longer than 10 s, or for another instance of the runner.
TEST_CASE("a report counts the recent ends of the runner's present instance") {
    ready_agent agent;
    const auto end = [&agent](std::uint64_t number, run_outcome outcome) {
        return ended_run{
            number, {agent.run.task, static_cast<attempt_number>(number)}, outcome, ""};
    };
    agent.tracker.apply_lists(
        {2, {}, {end(1, run_outcome::failed), end(2, run_outcome::done)}, true}, agent.now());
    agent.time += milliseconds(6000);
    agent.tracker.apply_lists({3,
                               {},
                               {end(2, run_outcome::done), end(3, run_outcome::failed),
                                end(4, run_outcome::stopped), end(5, run_outcome::failed)},
                               true},
                              agent.now());
    vm_report report = agent.tracker.make_report("vm", agent.now());
    CHECK(report.recent_done == 1);
    CHECK(report.recent_failed == 3);
    agent.time += milliseconds(6000);
    report = agent.tracker.make_report("vm", agent.now());
    CHECK(report.recent_done == 0);
    CHECK(report.recent_failed == 2);
    agent.registration.instance = "runner@2";
    agent.tracker.apply_registration(agent.registration);
    report = agent.tracker.make_report("vm", agent.now());
    CHECK(report.recent_failed == 0);
}

} // namespace egretstile
