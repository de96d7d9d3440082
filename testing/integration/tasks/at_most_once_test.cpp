#include "task_calls.hpp"
#include "vm_checks.hpp"
#include "wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <thread>

namespace egretstile::harness {
namespace {

constexpr std::size_t vms = 3;
constexpr std::int64_t large_vm = 16000;

submission short_task() {
    submission task;
    task.cpu_millicores = 1000;
    task.payload = "work_ms=500;result=ok";
    return task;
}

/// First VM on which a task of either list started; nothing when no VM has both.
std::optional<std::size_t> vm_with_both(const cluster& cluster,
                                        const std::vector<submission>& first,
                                        const std::vector<submission>& second) {
    std::set<std::size_t> vms_of_first;
    for (const submission& task : first) {
        vms_of_first.insert(vm_of(cluster, task.key));
    }
    for (const submission& task : second) {
        const std::size_t vm = vm_of(cluster, task.key);
        if (vms_of_first.count(vm) != 0) {
            return vm;
        }
    }
    return std::nullopt;
}

// Guards against a commit that is made twice, or given up, because its answer was lost.
TEST_CASE("tasks committed while the key-value service loses answers start once") {
    constexpr std::size_t entries = 2;
    cluster cluster(task_cluster_options(entries, vms, large_vm));
    REQUIRE(wait_ready(cluster, entries, vms));
    REQUIRE(cluster.set_key_value_fault("mode=lose_answers"));
    const std::vector<submission> tasks = make_submissions("once", 8, short_task());
    REQUIRE(submit_all(cluster, entries, tasks));
    // Starts and ends are commits, too.
    REQUIRE(wait_succeeded(cluster, keys_of(tasks)));
    REQUIRE(cluster.set_key_value_fault("mode=none"));
    const std::vector<submission> later = make_submissions("later", 8, short_task());
    REQUIRE(submit_all(cluster, entries, later));
    REQUIRE(wait_succeeded(cluster, keys_of(later)));
    const std::vector<vm_event> events = cluster.events();
    CHECK(not_exactly_once(events, keys_of(tasks)) == no_violations);
    CHECK(not_exactly_once(events, keys_of(later)) == no_violations);
}

// Guards against two entries that both accept the same key as new.
TEST_CASE("a key submitted at several entries at the same time starts once") {
    constexpr std::size_t entries = 3;
    cluster cluster(task_cluster_options(entries, vms, large_vm));
    REQUIRE(wait_ready(cluster, entries, vms));
    const std::vector<submission> tasks = make_submissions("once", 20, short_task());
    std::vector<std::size_t> accepted(entries);
    std::vector<std::thread> callers;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        callers.emplace_back([&cluster, &tasks, &accepted, entry] {
            for (const submission& task : tasks) {
                accepted[entry] += submit(cluster, entry, task) ? 1 : 0;
            }
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(accepted == std::vector<std::size_t>(entries, tasks.size()));
    REQUIRE(wait_succeeded(cluster, keys_of(tasks)));
    CHECK(not_exactly_once(cluster.events(), keys_of(tasks)) == no_violations);
}

// Guards against an accepted task that is lost, or started again, when its owner dies.
TEST_CASE("tasks of an entry killed right after it accepted them complete once") {
    constexpr std::size_t entries = 2;
    cluster cluster(task_cluster_options(entries, vms, large_vm));
    REQUIRE(wait_ready(cluster, entries, vms));
    const std::vector<submission> tasks = make_submissions("once", 16, short_task());
    for (const submission& task : tasks) {
        REQUIRE(submit(cluster, 0, task));
    }
    cluster.entry_process(0).kill();
    REQUIRE(wait_sole_owner(cluster, 1));
    REQUIRE(wait_succeeded(cluster, keys_of(tasks)));
    CHECK(simultaneous_runs(cluster.events()) == no_violations);
    CHECK(not_exactly_once(cluster.events(), keys_of(tasks)) == no_violations);
}

// Guards against a second run of work whose first run may have taken effect, and against idempotent
// work that is lost with its VM.
TEST_CASE("of the tasks of a killed VM only idempotent ones start again") {
    constexpr std::size_t entries = 2;
    cluster cluster(task_cluster_options(entries, vms, large_vm));
    REQUIRE(wait_ready(cluster, entries, vms));
    submission task;
    task.payload = "work_ms=4000;result=ok";
    // Five fit on a VM, so the six tasks of each kind need two of the three VMs: they meet on one
    // wherever they are placed.
    task.cpu_millicores = large_vm / 5;
    const std::vector<submission> others = make_submissions("once", 6, task);
    task.idempotent = true;
    const std::vector<submission> idempotent = make_submissions("again", 6, task);
    REQUIRE(submit_all(cluster, entries, others));
    REQUIRE(submit_all(cluster, entries, idempotent));
    REQUIRE(wait_starts(cluster, others.size() + idempotent.size()));
    const std::optional<std::size_t> shared = vm_with_both(cluster, others, idempotent);
    REQUIRE(shared.has_value());
    const std::size_t vm = *shared;
    const auto lost = std::find_if(others.begin(), others.end(), [&](const submission& candidate) {
        return vm_of(cluster, candidate.key) == vm;
    });
    REQUIRE(lost != others.end());
    cluster.agent_process(vm).kill();
    cluster.kill_vm(vm);
    REQUIRE(wait_succeeded(cluster, keys_of(idempotent)));
    cluster.restart_vm(vm);
    cluster.restart_agent(vm);
    // The worker's new boot id ends the runs of the old one; only then may they tempt the owner.
    CHECK(wait_until([&] { return task_state(cluster, 0, lost->key) == "interrupted"; },
                     milliseconds(30000)));
    const std::vector<vm_event> events = cluster.events();
    CHECK(simultaneous_runs(events) == no_violations);
    CHECK(not_completed_once(events, keys_of(idempotent)) == no_violations);
    CHECK(started_again(events, keys_of(others)) == no_violations);
}

// Guards against idempotent work that never completes because its worker died while the agent
// beside it goes on reporting the runs.
TEST_CASE("idempotent tasks of a dead worker with a live agent start again") {
    constexpr std::size_t entries = 2;
    cluster cluster(task_cluster_options(entries, vms, large_vm));
    REQUIRE(wait_ready(cluster, entries, vms));
    submission task;
    task.idempotent = true;
    task.payload = "work_ms=4000;result=ok";
    const std::vector<submission> tasks = make_submissions("again", 6, task);
    REQUIRE(submit_all(cluster, entries, tasks));
    REQUIRE(wait_starts(cluster, tasks.size()));
    cluster.kill_vm(vm_of(cluster, tasks.front().key));
    REQUIRE(wait_succeeded(cluster, keys_of(tasks)));
    const std::vector<vm_event> events = cluster.events();
    CHECK(simultaneous_runs(events) == no_violations);
    CHECK(not_completed_once(events, keys_of(tasks)) == no_violations);
}

} // namespace
} // namespace egretstile::harness
