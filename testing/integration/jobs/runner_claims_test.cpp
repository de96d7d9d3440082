#include "registry.hpp"
#include "wait_until.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <thread>

namespace egretstile::platform::standins {
namespace {

constexpr std::size_t vms = 3;
constexpr std::size_t tasks = 9;
constexpr milliseconds task_duration{5000};
constexpr milliseconds claim_interval{1200};
constexpr std::size_t claims = 3;
constexpr std::chrono::seconds completion_timeout{40};
/// A third of the lease of a run.
constexpr std::chrono::milliseconds move_timeout{1000};
constexpr const char* job = "5c0e7a21d94b36f8";
/// Each runner gets three tasks, and has room for those of another one.
constexpr const char* step = R"({"count":9,"cpu":10000,"mem_mb":256,"estimate_ms":5000})";

constexpr std::size_t short_jobs = 10;
constexpr std::size_t tasks_of_short_job = 40;
/// Takes a tenth of a second; five tasks fit beside the long ones of a runner.
constexpr const char* short_step = R"({"count":40,"cpu":6000,"mem_mb":256,"estimate_ms":100})";
const std::vector<std::string> no_violations;

/// Three runners that run three long tasks each.
class busy_registry {
public:
    busy_registry()
        : registry_({.entries = 1, .vms = vms, .duration = [](const std::string& task) {
                         return task.starts_with(job) ? task_duration : milliseconds(100);
                     }}) {
        REQUIRE(registry_.wait_ready());
        REQUIRE(registry_.submit(0, job, step).status == 200);
        REQUIRE(harness::wait_until([this] { return active_runs(0) == tasks / vms; },
                                    completion_timeout));
    }

    /// Runs `function` with the stand-in for the runner of the first VM.
    void on_runner(const std::function<void(runner&)>& function) {
        registry_.on_standins([&] { function(registry_.runner_of(0)); });
    }

    std::size_t active_runs(std::size_t vm) {
        std::size_t count = 0;
        registry_.on_standins([&] { count = registry_.runner_of(vm).active_runs(); });
        return count;
    }

    /// A heartbeat of the first VM's runner, as if from a process that started 3 s after it.
    std::string later_heartbeat() {
        std::string body;
        on_runner([&body](const runner& present) {
            body = heartbeat_body(present.options(), present.start_ms() + 3000, 1);
        });
        return body;
    }

    /// Makes the same call to the first VM's agent a few times while the runner's tasks run.
    void repeat_call(const std::string& path, const std::string& body) {
        for (std::size_t claim = 0; claim < claims; ++claim) {
            registry_.call_agent(0, path, body);
            std::this_thread::sleep_for(claim_interval);
        }
    }

    /// Checks that the tasks of the first VM's runner, which has just ended, run elsewhere long
    /// before their lease would have ended, and that all tasks get done.
    void check_tasks_move() {
        CHECK(harness::wait_until([this] { return started_runs() == tasks + 1 + tasks / vms; },
                                  move_timeout));
        CHECK(harness::wait_until([this] { return registry_.state(0, job) == "completed"; },
                                  completion_timeout));
        CHECK(registry_.history().simultaneous_runs() == no_violations);
        CHECK(registry_.history().starts_after_done() == no_violations);
    }

    void check_each_task_ran_once() {
        CHECK(harness::wait_until([this] { return registry_.state(0, job) == "completed"; },
                                  completion_timeout));
        CHECK(registry_.history().simultaneous_runs() == no_violations);
        CHECK(registry_.history().starts_after_done() == no_violations);
        // The job's tasks and the one of `wait_ready`.
        CHECK(started_runs() == tasks + 1);
    }

    /// Starts go on at each runner for some seconds.
    void submit_many_short_jobs() {
        for (std::size_t number = 0; number < short_jobs; ++number) {
            const std::string id = "00000000000001" + std::to_string(number + 10);
            REQUIRE(registry_.submit(0, id, short_step).status == 200);
        }
    }

    void check_short_jobs_done_once() {
        CHECK(harness::wait_until(
            [this] {
                return registry_.history().done_tasks() ==
                       tasks + 1 + short_jobs * tasks_of_short_job;
            },
            completion_timeout));
        CHECK(registry_.history().simultaneous_runs() == no_violations);
        CHECK(registry_.history().starts_after_done() == no_violations);
    }

    std::size_t started_runs() const {
        const std::vector<run_event> events = registry_.history().events();
        return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(), [](const run_event& event) {
                return event.kind == run_event_kind::started;
            }));
    }

private:
    mutable registry registry_;
};

} // namespace

// Guards against tasks that run twice because a deregistration that was delayed from an earlier
// process with the same id, or sent by another writer, is believed although the runner goes on.
TEST_CASE("a deregistration that is not the runner's gives up none of its runs") {
    busy_registry busy;
    busy.repeat_call(deregistration_path("i-0"), "");
    busy.check_each_task_ran_once();
}

// Guards against the same when the body of the call says nothing that can be read.
TEST_CASE("an unreadable deregistration gives up no run") {
    busy_registry busy;
    busy.repeat_call(deregistration_path("i-0"), "\x01\xff{");
    busy.check_each_task_ran_once();
}

// Guards against tasks that run twice because a heartbeat of another writer, with the runner's id
// and a later start time, is taken for a restart of the runner.
TEST_CASE("a heartbeat of a process that does not answer gives up no run") {
    busy_registry busy;
    busy.repeat_call(heartbeat_path("i-0"), busy.later_heartbeat());
    busy.check_each_task_ran_once();
}

// Guards against the same when the heartbeat names another runner.
TEST_CASE("a heartbeat of a runner that is not at the agent's address gives up no run") {
    busy_registry busy;
    busy.repeat_call(heartbeat_path("i-other"), busy.later_heartbeat());
    busy.check_each_task_ran_once();
}

// Guards against tasks that wait for the end of their lease although their runner has deregistered
// and ended.
TEST_CASE("the tasks of a runner that deregisters and ends run elsewhere at once") {
    busy_registry busy;
    busy.on_runner([](runner& present) { present.deregister_and_end(); });
    busy.check_tasks_move();
}

// Guards against tasks that wait for the end of their lease although their runner has been
// restarted.
TEST_CASE("the tasks of a runner that is restarted run again at once") {
    busy_registry busy;
    busy.on_runner([](runner& present) {
        present.end_process();
        present.start_process();
    });
    busy.check_tasks_move();
}

// Guards against tasks that run twice because the restarted runner carries out orders for its
// former process, while it answers calls and has not sent a heartbeat yet.
TEST_CASE("orders for a former process of a runner do not reach the next one") {
    busy_registry busy;
    busy.submit_many_short_jobs();
    busy.on_runner([](runner& present) {
        present.end_process();
        present.start_process(false);
    });
    busy.check_short_jobs_done_once();
}

} // namespace egretstile::platform::standins
