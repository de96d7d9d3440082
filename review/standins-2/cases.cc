#include "deployment.h"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace egretstile;
using namespace egretstile::review;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

void wait(milliseconds time) {
    std::this_thread::sleep_for(time);
}

std::string short_job(std::size_t tasks) {
    return R"({"spec":"short","steps":[{"count":)" + std::to_string(tasks) +
           R"(,"cpu":1000,"mem_mb":64,"estimate_ms":200}]})";
}

/// One task a minute.
std::string schedule_job(std::size_t repetitions) {
    return R"({"spec":"one a minute","start_at_ms":)" + std::to_string(wall_now_ms()) +
           R"(,"interval_ms":60000,"repetitions":)" + std::to_string(repetitions) +
           R"(,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":200}]})";
}

constexpr milliseconds finish_time{14000};
constexpr milliseconds idle_time{3000};
constexpr std::size_t tasks_of_job = 36;

/// Number of runs that are active on all runners, in total or of one job.
std::size_t active_runs(deployment& system, std::size_t agents, const std::string& job = "") {
    std::size_t count = 0;
    system.on_standins([&] {
        for (std::size_t agent = 0; agent < agents; ++agent) {
            const runner& worker = system.runner_of(agent);
            count += job.empty() ? worker.active_count() : worker.active_of(job);
        }
    });
    return count;
}

void log_state(record& log, const std::string& id, const std::string& state, std::size_t done) {
    std::string line = "GET " + id + ": ";
    line.append(state).append("; tasks done: ").append(std::to_string(done));
    log.write(line.append(" of ").append(std::to_string(tasks_of_job)));
}

/// Submits jobs of short tasks for some seconds, and returns those that were accepted.
std::vector<std::string> submit_short_jobs(deployment& system, record& log) {
    std::vector<std::string> jobs;
    for (std::size_t number = 0; number < 60; ++number) {
        const std::string id = job_id(100 + number);
        if (system.submit(id, short_job(tasks_of_job)).status == 200) {
            jobs.push_back(id);
        }
        wait(milliseconds(50));
    }
    log.write("end of the traffic; accepted " + std::to_string(jobs.size()) + " jobs");
    return jobs;
}

/// Whether LOST is broken for one of the jobs, `finish_s` after the end of the traffic: it is not
/// known, or it has nothing running for 3 s although its tasks' turn has come, there is capacity
/// for it twice over and under half of the service's capacity is in use.
bool is_one_lost(deployment& system, const deployment_options& options, record& log,
                 const std::vector<std::string>& jobs) {
    wait(finish_time);
    std::vector<std::string> idle;
    std::size_t completed = 0;
    std::size_t unknown = 0;
    for (const std::string& id : jobs) {
        const std::string state = system.state(id);
        const std::size_t done = log.done_tasks(id);
        log_state(log, id, state, done);
        completed += state == "completed" ? 1 : 0;
        unknown += state.empty() || state == "gone" ? 1 : 0;
        if ((state == "queued" || state == "running") && done < tasks_of_job) {
            idle.push_back(id);
        }
    }
    // A task of these jobs takes a 64th of a runner.
    const std::size_t room = options.agents * 64;
    const boot_time until = boot_now() + idle_time;
    while (boot_now() < until) {
        if (active_runs(system, options.agents) * 2 >= room) {
            idle.clear();
        }
        std::erase_if(idle, [&](const std::string& id) {
            return active_runs(system, options.agents, id) > 0;
        });
        wait(milliseconds(100));
    }
    std::string runners = "active runs and listed ends of each runner:";
    system.on_standins([&] {
        for (std::size_t agent = 0; agent < options.agents; ++agent) {
            const runner& worker = system.runner_of(agent);
            runners += " " + std::to_string(worker.active_count()) + "/" +
                       std::to_string(worker.unacknowledged_ends());
        }
        runners += "; transactions that the store refused for the size of a value: " +
                   std::to_string(system.platform_store().refused_values());
    });
    log.write(runners);
    log.write("completed " + std::to_string(completed) + " of " + std::to_string(jobs.size()) +
              " jobs; without an answer or not known: " + std::to_string(unknown) +
              "; nothing running for 3 s with tasks left: " + std::to_string(idle.size()));
    return unknown > 0 || !idle.empty();
}

/// A long schedule: one task a minute for 60 days. Its record of progress is larger than
/// `value_bytes`.
int large_schedule(record& log, bool trouble) {
    deployment_options options;
    options.duration = [](const std::string& /*task*/) { return milliseconds(150); };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    if (system.submit(job_id(2), schedule_job(trouble ? 86400 : 900)).status != 200) {
        log.write("the schedule was refused");
    }
    const std::vector<std::string> jobs = submit_short_jobs(system, log);
    return is_one_lost(system, options, log, jobs) ? broken : held;
}

/// What happens to the VM of a task after a call to start the task there had no answer.
enum class vm_trouble : std::uint8_t { runner_crash, power_loss };

/// The first call to start a task has no answer and is carried out after `late_by`; the agent calls
/// again, and the task runs. `trouble_at` after the first call, the runner, or the VM with its
/// agent and runner, is down for `down_for`; the runner starts again under its id.
int late_start(record& log, bool trouble, vm_trouble kind, milliseconds trouble_at,
               milliseconds down_for, milliseconds late_by) {
    const std::string id = job_id(2);
    const std::string task = id + ".0.0.2";
    deployment_options options;
    options.duration = [task](const std::string& name) {
        return milliseconds(name == task ? 500 : 100);
    };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    // A runner has usually been up for longer than a call may be late.
    wait(milliseconds(12000));
    std::atomic<int> caught{-1};
    system.on_standins([&] {
        for (std::size_t agent = 0; agent < options.agents; ++agent) {
            system.runner_of(agent).set_delay_rule(
                [&caught, &task, agent,
                 late_by](const runner_call& call) -> std::optional<milliseconds> {
                    int expected = -1;
                    if (call.path != "/v1/run-start" || call.task != task ||
                        !caught.compare_exchange_strong(expected, static_cast<int>(agent))) {
                        return std::nullopt;
                    }
                    return late_by;
                });
        }
    });
    if (system.submit(id, short_job(3)).status != 200) {
        return could_not_run;
    }
    for (int round = 0; round < 500 && caught < 0; ++round) {
        wait(milliseconds(2));
    }
    if (caught < 0) {
        return could_not_run;
    }
    if (trouble) {
        const std::size_t agent = static_cast<std::size_t>(caught.load());
        wait(trouble_at);
        log.write("GET " + id + ": " + system.state(id));
        if (kind == vm_trouble::power_loss) {
            system.kill_agent(agent);
        }
        system.on_standins([&] { system.runner_of(agent).crash(); });
        wait(down_for);
        system.on_standins([&] { system.runner_of(agent).restart(); });
        if (kind == vm_trouble::power_loss) {
            system.start_agent(agent);
        }
    }
    wait(late_by);
    for (int round = 0; round < 200 && system.state(id) != "completed"; ++round) {
        wait(milliseconds(200));
    }
    const std::string state = system.state(id);
    log.write("GET " + id + ": " + state);
    bool twice = false;
    for (const std::string& text : log.simultaneous_runs()) {
        log.write("two runs at the same time: " + text);
        twice = true;
    }
    for (const std::string& text : log.starts_after_done()) {
        log.write("start after an acknowledged end: " + text);
        twice = true;
    }
    return twice || state != "completed" ? broken : held;
}

/// A renewal of the lease has no answer and is carried out by the runner's next process, whose ends
/// the agent has not read, because another renewal has no answer.
int late_renewal(record& log, bool trouble) {
    const std::string first = job_id(2);
    const std::string id = job_id(3);
    constexpr std::int64_t first_tasks = 6;
    deployment_options options;
    options.agents = 1;
    options.duration = [&id](const std::string& task) {
        return milliseconds(task.compare(0, id.size(), id) == 0 ? 700 : 100);
    };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    if (system.submit(first, short_job(first_tasks)).status != 200) {
        return could_not_run;
    }
    for (int round = 0; round < 100 && system.state(first) != "completed"; ++round) {
        wait(milliseconds(50));
    }
    // The first renewal that acknowledges all of these ends, and the first one while the later
    // job's task is active.
    std::atomic<bool> first_caught{!trouble};
    std::atomic<bool> second_caught{!trouble};
    system.on_standins([&] {
        system.runner_of(0).set_delay_rule(
            [&](const runner_call& call) -> std::optional<milliseconds> {
                if (call.path != "/v1/hold") {
                    return std::nullopt;
                }
                const bool is_first =
                    call.acked_through > first_tasks && !first_caught.exchange(true);
                const bool is_second = system.runner_of(0).active_of(id) > 0 &&
                                       call.deadline_ms > 0 && !second_caught.exchange(true);
                return is_first || is_second ? std::optional<milliseconds>(12000) : std::nullopt;
            });
    });
    for (int round = 0; round < 1000 && !first_caught; ++round) {
        wait(milliseconds(2));
    }
    wait(milliseconds(200));
    system.on_standins([&] { system.runner_of(0).crash(); });
    wait(milliseconds(1500));
    system.on_standins([&] { system.runner_of(0).restart(); });
    wait(milliseconds(1000));
    if (system.submit(id, short_job(1)).status != 200) {
        return could_not_run;
    }
    for (int round = 0; round < 3000 && log.done_tasks(id) == 0; ++round) {
        wait(milliseconds(1));
    }
    system.on_standins([&] { system.runner_of(0).carry_out_late_calls(milliseconds(2000)); });
    for (int round = 0; round < 100 && system.state(id) != "completed"; ++round) {
        wait(milliseconds(200));
    }
    wait(milliseconds(1000));
    log.write("GET " + id + ": " + system.state(id));
    bool twice = false;
    for (const std::string& text : log.starts_after_done()) {
        log.write("start after an acknowledged end: " + text);
        twice = true;
    }
    return twice || system.state(id) != "completed" ? broken : held;
}

/// Ends entries whose memory exceeds `memory_mb` and starts them again after a short delay, as the
/// platform does.
class memory_limit {
public:
    memory_limit(deployment& system, const deployment_options& options, record& log)
        : system_(system)
        , options_(options)
        , log_(log)
        , ends_(options.entries, 0)
        , restart_at_(options.entries) {}

    void enforce() {
        for (std::size_t entry = 0; entry < options_.entries; ++entry) {
            if (restart_at_.at(entry) != boot_time()) {
                if (boot_now() >= restart_at_.at(entry)) {
                    restart_at_.at(entry) = boot_time();
                    system_.start_entry(entry);
                }
                continue;
            }
            const std::size_t memory = system_.entry_memory(entry);
            if (memory > options_.entry_memory_mb) {
                log_.write(
                    "entry-" + std::to_string(entry) + " has " + std::to_string(memory) +
                    " MB, more than memory_mb = " + std::to_string(options_.entry_memory_mb));
                ++ends_.at(entry);
                system_.kill_entry(entry);
                restart_at_.at(entry) = boot_now() + milliseconds(500);
            }
        }
    }

    /// Enforces the limit for a time.
    void enforce_for(milliseconds time) {
        const boot_time until = boot_now() + time;
        while (boot_now() < until) {
            enforce();
            wait(milliseconds(10));
        }
    }

    void report() const {
        for (std::size_t entry = 0; entry < options_.entries; ++entry) {
            log_.write("entry-" + std::to_string(entry) + " was ended for its memory " +
                       std::to_string(ends_.at(entry)) + " times");
        }
    }

private:
    deployment& system_;
    const deployment_options& options_;
    record& log_;
    std::vector<int> ends_;
    std::vector<boot_time> restart_at_;
};

/// Several long schedules: the memory of the leading entry.
int schedules_memory(record& log, bool trouble) {
    deployment_options options;
    options.duration = [](const std::string& /*task*/) { return milliseconds(150); };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    memory_limit limit(system, options, log);
    constexpr std::size_t schedules = 10;
    for (std::size_t number = 0; number < schedules; ++number) {
        system.submit(job_id(2 + number), schedule_job(trouble ? 72000 : 900));
        limit.enforce_for(milliseconds(100));
    }
    std::vector<std::string> jobs;
    for (std::size_t number = 0; number < 10; ++number) {
        const std::string id = job_id(100 + number);
        if (system.submit(id, short_job(tasks_of_job)).status == 200) {
            jobs.push_back(id);
        }
        limit.enforce_for(milliseconds(100));
    }
    log.write("end of the traffic; accepted " + std::to_string(jobs.size()) + " jobs");
    limit.enforce_for(finish_time);
    std::vector<std::string> idle;
    for (const std::string& id : jobs) {
        const std::size_t done = log.done_tasks(id);
        log_state(log, id, system.state(id), done);
        if (done < tasks_of_job) {
            idle.push_back(id);
        }
    }
    const boot_time until = boot_now() + idle_time;
    while (boot_now() < until) {
        limit.enforce_for(milliseconds(50));
        std::erase_if(idle, [&](const std::string& id) {
            return active_runs(system, options.agents, id) > 0;
        });
    }
    limit.report();
    log.write("nothing running for 3 s with tasks left: " + std::to_string(idle.size()) +
              " jobs; active runs: " + std::to_string(active_runs(system, options.agents)));
    return idle.empty() ? held : broken;
}

/// Waits until the agent's watch of the control keys has just begun, so that it would wait for
/// another 10 s, and makes its open connection to the store silent.
void silence_watch(deployment& system, record& log, std::size_t agent) {
    for (int round = 0; round < 3000; ++round) {
        bool fresh = false;
        system.on_standins([&] {
            const proxy& link = system.agent_link(agent);
            fresh = link.last_request().find("/v1/kv-watch") != std::string::npos &&
                    boot_now() < link.last_request_at() + milliseconds(100);
            if (fresh) {
                system.agent_link(agent).silence_open_connections();
            }
        });
        if (fresh) {
            log.write("the open connection of side-" + std::to_string(agent) +
                      " to the store has fallen silent");
            return;
        }
        wait(milliseconds(5));
    }
}

std::optional<std::size_t> wait_for_leader(const deployment& system, record& log) {
    for (int round = 0; round < 50; ++round) {
        if (const std::optional<std::size_t> leader = system.leader()) {
            log.write("entry-" + std::to_string(*leader) + " leads");
            return leader;
        }
        wait(milliseconds(100));
    }
    return std::nullopt;
}

/// The leading entry is partitioned from the store, and an agent's open connection to the store has
/// fallen silent before. The agent follows the former leader, which copies tasks that are done.
int former_leader(record& log, bool trouble) {
    constexpr milliseconds first_duration{1000};
    constexpr milliseconds added_duration{100};
    constexpr std::size_t tasks = 24;
    const std::string id = job_id(2);
    deployment_options options;
    options.agents = 2;
    options.duration = [&id, first_duration, added_duration](const std::string& task) {
        const std::size_t index =
            std::strtoul(task.substr(task.rfind('.') + 1).c_str(), nullptr, 10);
        return task.compare(0, id.size(), id) == 0
                   ? first_duration + added_duration * static_cast<int>(index)
                   : milliseconds(100);
    };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    const std::optional<std::size_t> leader = wait_for_leader(system, log);
    if (!leader) {
        return could_not_run;
    }
    if (trouble) {
        silence_watch(system, log, 0);
    }
    // Afterwards the machine counts as in touch again: `contact_ms` is 3,000.
    wait(milliseconds(2500));
    const call_answer taken = system.submit(
        id, R"({"spec":"copies","steps":[{"count":)" + std::to_string(tasks) +
                R"(,"cpu":1000,"mem_mb":64,"estimate_ms":2000,"speculative":true}]})");
    if (taken.status != 200) {
        return could_not_run;
    }
    wait(milliseconds(100));
    if (trouble) {
        system.on_standins([&] { system.entry_link(*leader).set_cut(true); });
        log.write("entry-" + std::to_string(*leader) + " is partitioned from the store");
    }
    wait(milliseconds(5500));
    if (trouble) {
        system.on_standins([&] { system.entry_link(*leader).set_cut(false); });
        log.write("the partition has ended");
    }
    for (int round = 0; round < 100 && system.state(id) != "completed"; ++round) {
        wait(milliseconds(200));
    }
    const std::string state = system.state(id);
    log.write("GET " + id + ": " + state);
    bool twice = false;
    const std::vector<task_run> runs = log.runs();
    for (const task_run& later : runs) {
        for (const task_run& earlier : runs) {
            // The step may run copies, so only the rule's bound of a second applies.
            if (earlier.task == later.task && earlier.outcome == "done" && earlier.acknowledged &&
                later.started_at > earlier.acknowledged_at + milliseconds(1000)) {
                log.write("attempt " + std::to_string(later.attempt) + " of " + later.task +
                          " began on " + later.runner + " " +
                          std::to_string(std::chrono::duration_cast<milliseconds>(
                                             later.started_at - earlier.acknowledged_at)
                                             .count()) +
                          " ms after the end of attempt " + std::to_string(earlier.attempt) +
                          " as done was acknowledged on " + earlier.runner);
                twice = true;
            }
        }
    }
    return twice || state != "completed" ? broken : held;
}

/// The same disruptions; a job is cancelled meanwhile, and the former leader goes on to start its
/// tasks.
int cancelled_job_goes_on(record& log, bool trouble) {
    deployment_options options;
    options.agents = 1;
    options.duration = [](const std::string& /*task*/) { return milliseconds(150); };
    deployment system(options, log);
    if (!system.wait_ready()) {
        return could_not_run;
    }
    const std::optional<std::size_t> leader = wait_for_leader(system, log);
    if (!leader) {
        return could_not_run;
    }
    std::string steps = R"({"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":150})";
    for (int step = 1; step < 100; ++step) {
        steps += R"(,{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":150,"after":[)" +
                 std::to_string(step - 1) + "]}";
    }
    const std::string id = job_id(2);
    if (trouble) {
        silence_watch(system, log, 0);
    }
    if (system.submit(id, R"({"spec":"chain","steps":[)" + steps + "]}").status != 200) {
        return could_not_run;
    }
    wait(milliseconds(1500));
    if (trouble) {
        system.on_standins([&] { system.entry_link(*leader).set_cut(true); });
        log.write("entry-" + std::to_string(*leader) + " is partitioned from the store");
    }
    const boot_time cut_at = boot_now();
    const std::size_t other = (*leader + 1) % options.entries;
    while (trouble && boot_now() < cut_at + milliseconds(3000) &&
           system.leader_by(other) == leader) {
        wait(milliseconds(5));
    }
    std::optional<boot_time> cancelled_at;
    for (int attempt = 0; attempt < 20 && !cancelled_at; ++attempt) {
        const call_answer answer = system.call(other, "DELETE", "/queue/" + id, "");
        log.write("DELETE " + id + " at entry-" + std::to_string(other) + ": " +
                  std::to_string(answer.status));
        if (answer.status == 200) {
            cancelled_at = boot_now();
        } else {
            wait(milliseconds(50));
        }
    }
    if (!cancelled_at) {
        return could_not_run;
    }
    while (boot_now() < cut_at + milliseconds(5500)) {
        wait(milliseconds(10));
    }
    if (trouble) {
        system.on_standins([&] { system.entry_link(*leader).set_cut(false); });
        log.write("the partition has ended");
    }
    wait(milliseconds(5000));
    bool started = false;
    for (const task_run& run : log.runs()) {
        // `cancel_ms` is 3,000.
        if (run.task.compare(0, id.size(), id) == 0 &&
            run.started_at > *cancelled_at + milliseconds(3000)) {
            log.write(run.task + " began " +
                      std::to_string(
                          std::chrono::duration_cast<milliseconds>(run.started_at - *cancelled_at)
                              .count()) +
                      " ms after the cancellation was acknowledged");
            started = true;
        }
    }
    return started ? broken : held;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv, std::next(argv, argc));
    if (arguments.size() != 3) {
        std::cerr << "usage: cases NAME RECORD\n";
        return could_not_run;
    }
    const std::string& name = arguments[1];
    const char* const setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    try {
        record log(arguments[2]);
        log.write("case " + name + (trouble ? "" : ", without the disruption"));
        int result = could_not_run;
        if (name == "large-schedule") {
            result = large_schedule(log, trouble);
        } else if (name == "late-start-and-crash") {
            result = late_start(log, trouble, vm_trouble::runner_crash, milliseconds(8000),
                                milliseconds(2000), milliseconds(11500));
        } else if (name == "late-start-and-power-loss") {
            result = late_start(log, trouble, vm_trouble::power_loss, milliseconds(2000),
                                milliseconds(2000), milliseconds(8000));
        } else if (name == "late-renewal") {
            result = late_renewal(log, trouble);
        } else if (name == "former-leader") {
            result = former_leader(log, trouble);
        } else if (name == "cancelled-job-goes-on") {
            result = cancelled_job_goes_on(log, trouble);
        } else if (name == "schedules-memory") {
            result = schedules_memory(log, trouble);
        }
        log.write(result == broken ? "the rule was broken"
                  : result == held ? "the rule held"
                                   : "the case could not run");
        return result;
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return could_not_run;
    }
}
