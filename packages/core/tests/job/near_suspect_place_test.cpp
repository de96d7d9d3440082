#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace egretstile {
namespace {

scheduler_settings all_parts() {
    scheduler_settings settings;
    settings.track_runner_health = true;
    settings.place_by_contention = true;
    settings.remote_factor = 2.0;
    return settings;
}

/// Racks of two VMs; the scheduler tracks runner health, places by contention and waits for the
/// rack of the data.
class mixed_vms : public simulated_vms {
public:
    mixed_vms()
        : simulated_vms(4, 2, all_parts(), std::make_unique<image_separating_placer>()) {
        exchange();
    }

    /// The tasks of a job have an image of its own, so that run times of others tell nothing.
    void add(const job_id& id, std::uint32_t count, const std::string& rack,
             std::uint32_t estimate_ms, bool filling = false, std::uint32_t max_attempts = 3) {
        job_spec job = make_plain_job(id, count);
        job.steps[0].preferred_rack = rack;
        job.steps[0].estimate_ms = estimate_ms;
        job.steps[0].fills_idle_cpu = filling;
        job.steps[0].image = id;
        job.policy.max_attempts = max_attempts;
        job.accepted_at_ms = time.count();
        scheduler.add_job(job);
    }

    /// Lets each VM complete runs, so that it takes any number of starts.
    void prove_all() {
        for (int round = 0; round < 6; ++round) {
            add("proof-" + std::to_string(round), 8, "", 1000);
            end_runs("", 10);
        }
    }

    /// Makes the VM suspect by quick failures of runs of many jobs, and ends all runs.
    void make_suspect(const vm_name& vm) {
        for (int round = 0; round < 60 && !is_suspect(vm); ++round) {
            add("failing-" + std::to_string(round), 4, "", 1000);
            end_runs(vm, 1);
        }
        end_runs(vm, 20);
    }

    bool is_suspect(const vm_name& vm) const { return scheduler.vms().at(vm).health.suspect; }

    std::size_t count_on(const vm_name& vm, const std::vector<start_order>& starts) const {
        return static_cast<std::size_t>(
            std::count_if(starts.begin(), starts.end(),
                          [&](const start_order& order) { return vm_of(order.run) == vm; }));
    }

    std::size_t count(decision_kind kind) const {
        return static_cast<std::size_t>(
            std::count_if(decisions.begin(), decisions.end(),
                          [kind](const decision& made) { return made.kind == kind; }));
    }

private:
    /// Ends each run at once for a number of passes; those on `failing` fail.
    void end_runs(const vm_name& failing, int passes) {
        for (int pass = 0; pass < passes; ++pass) {
            for (const start_order& order : exchange()) {
                const vm_name vm = vm_of(order.run);
                end_run(vm, order.run, vm == failing ? run_outcome::failed : run_outcome::done);
            }
        }
    }
};

/// Expected time until the end near the data that the decision to wait gives.
std::int64_t near_end_ms(const decision& made) {
    const std::string name = "near_end_ms=";
    return std::stoll(made.fields.substr(made.fields.find(name) + name.size()));
}

// Guards against waits for the rack counted as contention: then only the 8 tasks that run at full
// speed would start elsewhere. Also against a wait that keeps the other tasks of its step from
// being considered, and against waits for a rack whose suspect VM takes no more than its trial.
TEST_CASE("tasks wait for the sound VM of their rack while the other VM there is suspect") {
    mixed_vms vms;
    vms.prove_all();
    vms.make_suspect("vm-0");
    REQUIRE(vms.is_suspect("vm-0"));
    vms.decisions.clear();
    vms.add("plain", 8, "rack-0", 60000);
    const std::vector<start_order> plain = vms.exchange(milliseconds(4));
    REQUIRE(vms.count_on("vm-0", plain) == 1);
    REQUIRE(vms.count_on("vm-1", plain) == 7);
    REQUIRE(vms.count(decision_kind::start_trial) == 1);
    // A sixth task would run on vm-1 at half of the full speed, which is too slow.
    vms.add("early", 5, "rack-0", 400, true);
    const std::vector<start_order> early = vms.exchange(milliseconds(4));
    REQUIRE(vms.count_on("vm-1", early) == 5);
    // From here on no job without runs accepts slow places: half of the cores are reserved.
    vms.add("load", 12, "rack-1", 60000);
    REQUIRE(vms.exchange(milliseconds(4)).size() == 12);

    vms.add("near", 5, "rack-0", 1000, true);
    CHECK(vms.exchange(milliseconds(4)).empty());
    CHECK(vms.count(decision_kind::wait_begins) == 5);
    CHECK(vms.count(decision_kind::step_waits) == 0);
    for (const decision& made : vms.decisions) {
        if (made.kind == decision_kind::wait_begins) {
            CHECK(near_end_ms(made) >= 1300);
        }
    }

    vms.add("elsewhere", 12, "rack-1", 1000, true);
    CHECK(vms.exchange(milliseconds(4)).size() == 12);

    for (const start_order& order : early) {
        vms.end_run("vm-1", order.run, run_outcome::done);
    }
    const std::vector<start_order> near = vms.exchange(milliseconds(4));
    CHECK(near.size() == 5);
    CHECK(vms.count_on("vm-1", near) == 5);
    CHECK(vms.scheduler.near_wait_totals().ended_near == 5);
}

// Guards against the free room of a suspect VM counted as room near the data: the wait would be
// expected to end at once. Also against a task with one attempt left that waits for its rack
// instead of starting on a proven VM elsewhere.
TEST_CASE(
    "the forecast of a rack leaves out its suspect VM, and last attempts do not wait for it") {
    mixed_vms vms;
    vms.prove_all();
    vms.make_suspect("vm-0");
    REQUIRE(vms.is_suspect("vm-0"));
    vms.decisions.clear();
    vms.add("plain", 11, "rack-0", 400);
    const std::vector<start_order> plain = vms.exchange(milliseconds(4));
    REQUIRE(vms.count_on("vm-0", plain) == 1);
    REQUIRE(vms.count_on("vm-1", plain) == 10);

    vms.add("near", 1, "rack-0", 1000);
    CHECK(vms.exchange(milliseconds(4)).empty());
    REQUIRE(vms.count(decision_kind::wait_begins) == 1);
    for (const decision& made : vms.decisions) {
        if (made.kind == decision_kind::wait_begins) {
            CHECK(near_end_ms(made) >= 1300);
        }
    }

    vms.add("last", 1, "rack-0", 1000, false, 1);
    const std::vector<start_order> last = vms.exchange(milliseconds(4));
    REQUIRE(last.size() == 1);
    CHECK(last[0].run.task.job == "last");
    CHECK(vms.count(decision_kind::wait_begins) == 1);

    for (const start_order& order : plain) {
        if (vms.vm_of(order.run) == "vm-1") {
            vms.end_run("vm-1", order.run, run_outcome::done);
        }
    }
    CHECK(vms.count_on("vm-1", vms.exchange(milliseconds(4))) == 1);
    CHECK(vms.scheduler.near_wait_totals().ended_near == 1);
}

} // namespace
} // namespace egretstile
