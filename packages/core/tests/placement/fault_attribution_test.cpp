#include "vm_fixture.hpp"

#include <egretstile/core/placement/fault_attribution.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

constexpr boot_time start{std::chrono::seconds(1000)};

vm_name vm_number(int number) {
    return "vm-" + std::to_string(number);
}

task_key task_number(int number) {
    return "task-" + std::to_string(number);
}

fault_attribution fleet_of(int vms) {
    fault_attribution faults;
    for (int vm = 0; vm < vms; ++vm) {
        faults.run_succeeded(vm_number(vm), "earlier");
    }
    return faults;
}

// Guards against a worker that fails every task at once and so attracts all queued tasks.
TEST_CASE("a worker that fails every task gets no new work for a while") {
    fault_attribution faults = fleet_of(11);
    for (int task = 0; task < 5; ++task) {
        CHECK_FALSE(faults.is_drained("vm-0", start));
        faults.run_failed("vm-0", task_number(task), start);
    }
    CHECK(faults.is_drained("vm-0", start));
    CHECK(faults.is_drained("vm-0", start + milliseconds(59999)));
    CHECK_FALSE(faults.is_drained("vm-0", start + milliseconds(60000)));
}

// Guards against tasks that are parked because of a faulty worker.
TEST_CASE("failures on a faulty worker are not blamed on the tasks") {
    fault_attribution faults = fleet_of(11);
    faults.run_failed("vm-1", "task-0", start);
    faults.run_failed("vm-2", "task-0", start);
    for (int task = 0; task < 5; ++task) {
        faults.run_failed("vm-0", task_number(task), start);
    }
    CHECK_FALSE(faults.is_task_faulty("task-0"));
    faults.run_failed("vm-0", "task-0", start + milliseconds(60000));
    CHECK_FALSE(faults.is_task_faulty("task-0"));
}

// Guards against a job that can never run and is repeated without end.
TEST_CASE("a task that fails on several healthy workers is faulty itself") {
    fault_attribution faults = fleet_of(11);
    faults.run_failed("vm-0", "bad", start);
    faults.run_failed("vm-0", "bad", start);
    faults.run_failed("vm-1", "bad", start);
    CHECK_FALSE(faults.is_task_faulty("bad"));
    faults.run_failed("vm-2", "bad", start);
    CHECK(faults.is_task_faulty("bad"));
    CHECK_FALSE(faults.is_drained("vm-0", start));
    faults.forget_task("bad");
    CHECK_FALSE(faults.is_task_faulty("bad"));
}

// Guards against one faulty job that drains a worker by its repetitions.
TEST_CASE("repeated failures of one task do not drain a worker") {
    fault_attribution faults = fleet_of(11);
    for (int i = 0; i < 50; ++i) {
        faults.run_failed("vm-0", "bad", start);
    }
    CHECK_FALSE(faults.is_drained("vm-0", start));
}

// Guards against a bad batch of jobs that drains worker after worker.
TEST_CASE("a batch that fails everywhere drains no worker") {
    fault_attribution faults = fleet_of(11);
    for (int task = 0; task < 300; ++task) {
        faults.run_failed(vm_number(task % 11), task_number(task), start);
    }
    for (int vm = 0; vm < 11; ++vm) {
        CHECK_FALSE(faults.is_drained(vm_number(vm), start));
    }
}

// Guards against a worker that comes back every minute to fail more tasks.
TEST_CASE("a worker that fails again after its drain is drained for longer") {
    fault_attribution faults = fleet_of(11);
    for (int task = 0; task < 5; ++task) {
        faults.run_failed("vm-0", task_number(task), start);
    }
    const boot_time later = start + milliseconds(60000);
    faults.run_failed("vm-0", "task-9", later);
    CHECK(faults.is_drained("vm-0", later + milliseconds(119999)));
    CHECK_FALSE(faults.is_drained("vm-0", later + milliseconds(120000)));
    faults.run_succeeded("vm-0", "task-10");
    faults.run_failed("vm-0", "task-11", later + milliseconds(120000));
    CHECK_FALSE(faults.is_drained("vm-0", later + milliseconds(120000)));
}

// Guards against a fleet that drains itself.
TEST_CASE("never more than the share of the workers is drained") {
    fault_attribution faults = fleet_of(11);
    for (int vm = 0; vm < 11; ++vm) {
        for (int task = 0; task < 5; ++task) {
            faults.run_failed(vm_number(vm), task_number(task), start);
        }
    }
    int drained = 0;
    for (int vm = 0; vm < 11; ++vm) {
        drained += faults.is_drained(vm_number(vm), start) ? 1 : 0;
    }
    CHECK(drained == 2);
}

// Guards against tasks that wait for ever for a VM of a size that does not exist, and against a
// rejection by an entry that has just started or whose large VMs are busy.
TEST_CASE("a task that no VM's capacity holds is recognised at submission") {
    vm_view busy = testing::empty_vm("vm-0");
    busy.reserved = busy.capacity;
    busy.accepts_tasks = false;
    CHECK(fits_any_vm({64000, 250000, 0}, {busy}));
    CHECK_FALSE(fits_any_vm({64001, 1, 0}, {busy}));
    CHECK_FALSE(fits_any_vm({1, 1, 1}, {busy}));
    CHECK(fits_any_vm({64001, 1, 0}, {}));
}

} // namespace
} // namespace egretstile
