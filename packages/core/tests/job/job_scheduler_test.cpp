#include <egretstile/core/job/job_scheduler.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

job_spec make_job(const job_id& id, std::uint32_t count, std::int64_t millicores) {
    job_spec job;
    job.id = id;
    job.queue = "queue";
    job.policy.name = "queue";
    job.policy.service = "service";
    job.policy.max_attempts = 2;
    job.accepted_epoch = 1;
    step_spec step;
    step.count = count;
    step.need.cpu_millicores = millicores;
    step.estimate_ms = 1000;
    job.steps = {step};
    return job;
}

/// A scheduler with one VM of 10 cores whose agent is played by the test.
class one_vm {
public:
    explicit one_vm(epoch_number epoch = 1)
        : scheduler({}, epoch, std::make_unique<separating_placer>(), [](const decision&) {}) {
        scheduler.register_vm("vm");
        report.vm = "vm";
        report.epoch = epoch;
        report.lists_known = true;
        report.runner.life = "runner@1";
        report.runner.service = "service";
        report.runner.failure_domain = "domain";
        report.runner.capacity = {10000, 10000, 0};
        report.runner.state = runner_state::ready;
    }

    boot_time now() const { return boot_time(time); }

    /// Sends the report, and returns the orders that follow.
    vm_orders exchange() {
        time += milliseconds(100);
        ++report.sequence;
        scheduler.confirm_leadership(now());
        const bool used = scheduler.take_report(report, now());
        scheduler.schedule(now(), time.count());
        vm_orders orders = scheduler.take_orders("vm", used ? report.sequence : 0);
        report.orders_seen = orders.number;
        for (const start_order& order : orders.starts) {
            report.active.push_back({order.run, "", 0, 0});
        }
        return orders;
    }

    void end_run(const task_attempt& run, run_outcome outcome) {
        report.ended.push_back({report.ended.size() + 1, run, outcome, ""});
        report.active.erase(
            std::remove_if(report.active.begin(), report.active.end(),
                           [&run](const active_run& active) { return active.run == run; }),
            report.active.end());
    }

    void store_all() {
        for (const job_entry* const job : scheduler.changed_jobs(100)) {
            scheduler.mark_stored(job->spec.id, job->version, now());
        }
    }

    job_scheduler scheduler;
    vm_report report;
    milliseconds time{1000};
};

// Guards against callers that get "gone" for a job that was done before the leader changed.
TEST_CASE("a job that was final before a change of leader is kept for its retention") {
    one_vm vm(2);
    vm.scheduler.add_job(make_job("job", 1, 1000));
    job_progress progress;
    progress.state = job_state::completed;
    progress.tasks.resize(1);
    progress.tasks[0].done = true;
    const boot_time loaded{std::chrono::hours(1)};
    vm.scheduler.restore_progress("job", progress, loaded);
    CHECK(vm.scheduler.take_expired(loaded + milliseconds(5000), 10).empty());
    CHECK(vm.scheduler.visible_state("job") == job_state::completed);
    CHECK(vm.scheduler.take_expired(loaded + milliseconds(130000), 10).size() == 1);
}

// Guards against a new leader on a slow link that takes seconds to read what no longer matters.
TEST_CASE("the progress of a final job is stored without its tasks and stays final when restored") {
    one_vm vm;
    vm.scheduler.add_job(make_job("job", 1, 1000));
    vm.exchange();
    vm.end_run(vm.report.active.front().run, run_outcome::done);
    vm.exchange();
    const std::vector<job_entry*> changed = vm.scheduler.changed_jobs(10);
    REQUIRE(changed.size() == 1);
    const job_progress stored = progress_of(*changed.front());
    CHECK(stored.state == job_state::completed);
    CHECK(stored.tasks.empty());
    // The next leader hears of the end again and starts nothing.
    one_vm next(2);
    next.scheduler.add_job(make_job("job", 1, 1000));
    next.scheduler.restore_progress("job", stored, next.now());
    next.report.ended = vm.report.ended;
    CHECK(next.exchange().starts.empty());
    next.store_all();
    CHECK(next.exchange().acknowledged_ends == 1);
    CHECK(next.scheduler.visible_state("job") == job_state::completed);
}

// Guards against a job that is shown as done and done again after a power loss.
TEST_CASE("a job is shown as completed only once that is stored") {
    one_vm vm;
    vm.scheduler.add_job(make_job("job", 1, 1000));
    vm.exchange();
    const vm_orders orders = vm.exchange();
    REQUIRE(vm.report.active.size() == 1);
    vm.end_run(vm.report.active.front().run, run_outcome::done);
    CHECK(vm.exchange().acknowledged_ends == 0);
    CHECK(vm.scheduler.visible_state("job") == job_state::running);
    vm.store_all();
    CHECK(vm.scheduler.visible_state("job") == job_state::completed);
    CHECK(vm.exchange().acknowledged_ends == 1);
}

// Guards against a runner that is given more than it holds while a stop is still under way.
TEST_CASE("a stopped run keeps its room until its end is listed") {
    one_vm vm;
    vm.scheduler.add_job(make_job("first", 1, 8000));
    vm.exchange();
    vm.scheduler.add_job(make_job("second", 1, 8000));
    vm.scheduler.cancel_job("first");
    CHECK(vm.exchange().stops.size() == 1);
    CHECK(vm.exchange().starts.empty());
    vm.end_run(vm.report.active.front().run, run_outcome::stopped);
    CHECK(vm.exchange().starts.size() == 1);
}

// Guards against a job that is tried again after its budget, and one that is given up before it.
TEST_CASE("a job fails when a task has used up its attempts") {
    one_vm vm;
    vm.scheduler.add_job(make_job("job", 1, 1000));
    vm.exchange();
    for (int attempt = 0; attempt < 2; ++attempt) {
        CHECK(vm.scheduler.visible_state("job") == job_state::running);
        REQUIRE(vm.report.active.size() == 1);
        vm.end_run(vm.report.active.front().run, run_outcome::failed);
        vm.exchange();
        vm.exchange();
    }
    vm.store_all();
    CHECK(vm.report.active.empty());
    CHECK(vm.scheduler.visible_state("job") == job_state::failed);
}

// Guards against an end that was stored but not acknowledged being counted twice by a new leader.
TEST_CASE("a failure that the former leader has stored is not counted again") {
    one_vm vm(2);
    job_spec job = make_job("job", 1, 1000);
    vm.scheduler.add_job(job);
    job_progress progress;
    progress.state = job_state::running;
    progress.tasks.resize(1);
    progress.tasks[0].failed_attempts = {1};
    progress.tasks[0].last_attempt = 1;
    vm.scheduler.restore_progress("job", progress, vm.now());
    vm.end_run({{"job", 0, 0, 0}, 1}, run_outcome::failed);
    vm.exchange();
    vm.exchange();
    CHECK(vm.scheduler.visible_state("job") == job_state::running);
    REQUIRE(vm.report.active.size() == 1);
    CHECK(vm.report.active.front().run.attempt > 1000);
}

// Guards against a task that runs twice: a VM of an earlier leader may still run it.
TEST_CASE("jobs of an earlier epoch wait for the VMs of that epoch") {
    one_vm vm(2);
    vm.scheduler.expect_vm("silent", vm.now() + milliseconds(8000));
    vm.scheduler.add_job(make_job("old", 1, 1000));
    job_spec fresh = make_job("new", 1, 1000);
    fresh.accepted_epoch = 2;
    vm.scheduler.add_job(fresh);
    const vm_orders orders = vm.exchange();
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.starts.front().run.task.job == "new");
    vm.time += milliseconds(8000);
    const vm_orders later = vm.exchange();
    REQUIRE(later.starts.size() == 1);
    CHECK(later.starts.front().run.task.job == "old");
}

// Guards against new work in a failure domain that operators have taken out of service.
TEST_CASE("nothing starts in a closed failure domain or on a draining runner") {
    one_vm vm;
    vm.scheduler.set_closed_domains({"domain"});
    vm.scheduler.add_job(make_job("job", 1, 1000));
    CHECK(vm.exchange().starts.empty());
    vm.scheduler.set_closed_domains({});
    vm.report.runner.state = runner_state::draining;
    CHECK(vm.exchange().starts.empty());
    vm.report.runner.state = runner_state::ready;
    CHECK(vm.exchange().starts.size() == 1);
}

// Guards against the pattern in which serving tasks are everywhere and work that fills waits for
// ever, although nearly all processor time is idle.
TEST_CASE("a job that fills gets a task started beside serving tasks") {
    one_vm vm;
    job_spec serving = make_job("serving", 1, 1000);
    serving.steps[0].long_running = true;
    serving.steps[0].target_latency_ms = 100;
    vm.scheduler.add_job(serving);
    vm.exchange();
    REQUIRE(vm.exchange().starts.empty());
    vm.report.pressures = {{"", "heavy", 60.0, 1.0}};
    job_spec filling = make_job("filling", 3, 5000);
    filling.steps[0].fills_idle_cpu = true;
    filling.steps[0].image = "heavy";
    vm.scheduler.add_job(filling);
    CHECK(vm.exchange().starts.size() == 1);
}

/// A VM of 10 cores on which a serving task has reserved 6 and reports a fourth of its target.
class serving_vm : public one_vm {
public:
    serving_vm() {
        job_spec serving = make_job("serving", 1, 6000);
        serving.steps[0].long_running = true;
        serving.steps[0].target_latency_ms = 100;
        serving.steps[0].image = "server";
        scheduler.add_job(serving);
        exchange();
        report.active.front().percent = 100;
        report.active.front().load = 25;
        pass(milliseconds(3000));
    }

    void pass(milliseconds span) {
        for (milliseconds passed{0}; passed < span; passed += milliseconds(500)) {
            time += milliseconds(400);
            started += exchange().starts.size();
        }
    }

    void add_filling(const job_id& id, const std::string& image, double slope) {
        report.pressures.push_back({"server", image, slope, 0.1});
        job_spec filling = make_job(id, 1, 2000);
        filling.steps[0].fills_idle_cpu = true;
        filling.steps[0].image = image;
        scheduler.add_job(filling);
    }

    std::size_t started{0};
};

// Guards against the pattern in which every job starts at once and all of them, and the serving
// tasks beside them, are late.
TEST_CASE("a task that would press on a serving task waits, one that would not starts") {
    serving_vm vm;
    vm.add_filling("heavy", "heavy", 20.0);
    vm.pass(milliseconds(1000));
    CHECK(vm.started == 0);
    vm.add_filling("light", "light", 0.5);
    vm.pass(milliseconds(1000));
    CHECK(vm.started == 1);
}

// Guards against the pattern in which a zone is emptied and a job waits for ever, although the VMs
// that are left are nearly idle.
TEST_CASE("a job that presses on others starts when half of the open VMs' time is not reserved") {
    serving_vm vm;
    vm.scheduler.register_vm("idle");
    vm_report idle = vm.report;
    idle.vm = "idle";
    idle.runner.life = "runner@2";
    idle.runner.failure_domain = "closed";
    idle.active.clear();
    REQUIRE(vm.scheduler.take_report(idle, vm.now()));
    vm.scheduler.set_closed_domains({"closed"});
    vm.add_filling("heavy", "heavy", 20.0);
    vm.pass(milliseconds(1000));
    CHECK(vm.started == 0);
    vm.report.runner.capacity.cpu_millicores = 14000;
    vm.pass(milliseconds(1000));
    CHECK(vm.started == 1);
}

// Guards against agents that learn again what the leader knows from other VMs.
TEST_CASE("an agent is told of the pressure of an image once, and again when it has changed") {
    serving_vm vm;
    vm.add_filling("light", "light", 0.5);
    const vm_orders orders = vm.exchange();
    REQUIRE(orders.starts.size() == 1);
    REQUIRE(orders.pressures.size() == 1);
    CHECK(orders.pressures.front().slope == Approx(0.5));
    vm.report.pressures.clear();
    CHECK(vm.exchange().pressures.empty());
    vm.report.pressures = {{"server", "light", 2.0, 0.1}};
    vm.exchange();
    vm.report.pressures.clear();
    vm.scheduler.agent_connected("vm");
    CHECK(vm.exchange().pressures.size() == 1);
}

// Guards against the pattern in which VMs that were replaced long ago keep a new leader waiting.
TEST_CASE("a VM that has left is forgotten, one that may run tasks is not") {
    one_vm vm;
    vm.scheduler.add_job(make_job("job", 1, 1000));
    vm.exchange();
    const boot_time silent = vm.now() + milliseconds(5000);
    vm.scheduler.confirm_leadership(silent);
    CHECK(vm.scheduler.idle_vms(silent).empty());
    vm.report.lapsed = true;
    vm.exchange();
    const boot_time later = vm.now() + milliseconds(5000);
    vm.scheduler.confirm_leadership(later);
    CHECK(vm.scheduler.idle_vms(later) == std::vector<vm_name>{"vm"});
}

// Guards against the pattern in which a leader is replaced after a VM has left: a lasting task that
// fails stays away for as long as the VM that has left might run tasks.
TEST_CASE("a task that was seen under way starts again while another VM is silent") {
    one_vm vm(2);
    vm.scheduler.expect_vm("left", boot_time(std::chrono::hours(1)));
    for (const std::string id : {"seen", "unseen"}) {
        job_spec job = make_job(id, 1, 1000);
        job.steps[0].long_running = true;
        vm.scheduler.add_job(job);
    }
    const task_attempt run{{"seen", 0, 0, 0}, 1};
    vm.report.active = {{run, "", 100, 0}};
    vm.exchange();
    vm.end_run(run, run_outcome::failed);
    vm.exchange();
    vm.time += milliseconds(500);
    std::vector<start_order> starts = vm.exchange().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run.task.job == "seen");
    CHECK(starts.front().run.attempt > run.attempt);
    // An end alone proves nothing: the earlier leader may have started the task again elsewhere.
    vm.end_run({{"unseen", 0, 0, 0}, 1}, run_outcome::failed);
    vm.exchange();
    vm.time += milliseconds(500);
    CHECK(vm.exchange().starts.empty());
}

// Guards against the pattern in which a VM is taken away just before a leader is replaced: the next
// leader waits for it before it starts what an earlier one accepted.
TEST_CASE("a VM whose runner is gone is forgotten a second later, one that comes back is not") {
    one_vm vm;
    vm.exchange();
    vm.report.lapsed = true;
    vm.exchange();
    CHECK(vm.scheduler.idle_vms(vm.now()).empty());
    const boot_time later = vm.now() + milliseconds(1000);
    CHECK(vm.scheduler.idle_vms(later) == std::vector<vm_name>{"vm"});
    vm.report.lapsed = false;
    vm.exchange();
    CHECK(vm.scheduler.idle_vms(later).empty());
}

// Guards against a second run beside the first: a restarted agent reports before its runner has
// registered again.
TEST_CASE("a report without a runner does not end what runs on the VM") {
    one_vm vm;
    vm.scheduler.add_job(make_job("job", 1, 1000));
    vm.exchange();
    REQUIRE(vm.report.active.size() == 1);
    const vm_report complete = vm.report;
    // Another VM could take the task.
    vm.scheduler.register_vm("other");
    vm_report other = complete;
    other.vm = "other";
    other.runner.life = "runner@2";
    other.active.clear();
    REQUIRE(vm.scheduler.take_report(other, vm.now()));
    vm.scheduler.agent_connected("vm");
    vm.report = vm_report();
    vm.report.vm = "vm";
    vm.report.epoch = 1;
    CHECK(vm.exchange().starts.empty());
    // Then the runner has registered, but its lists have not been read.
    vm.report.runner = complete.runner;
    CHECK(vm.exchange().starts.empty());
    CHECK(vm.scheduler.take_orders("other", 0).starts.empty());
    const std::uint64_t sequence = vm.report.sequence;
    vm.report = complete;
    vm.report.sequence = sequence;
    const vm_orders orders = vm.exchange();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());
}

} // namespace
} // namespace egretstile
