#include "contended_vms.hpp"

#include <egretstile/core/job/room_account.hpp>

#include <catch2/catch.hpp>

#include <string>

namespace egretstile {
namespace {

constexpr double reserve = 2.2;
constexpr boot_time now_in_test(milliseconds(60000));

double same_reserve(const std::string& /*service*/) {
    return reserve;
}

/// Adds a VM of ten cores that has just reported, with a serving task that has reserved six cores
/// and uses two.
vm_state& add_vm(vm_table& vms, const vm_name& name, double own_headroom) {
    vm_state& vm = vms[name];
    vm.name = name;
    vm.usable = true;
    vm.last_report_at = now_in_test;
    vm.runner.service = "service";
    vm.runner.failure_domain = "domain";
    vm.runner.state = runner_state::ready;
    vm.runner.capacity = {10000, 10000, 0};
    vm_run serving;
    serving.reserved.cpu_millicores = 6000;
    serving.requested_millicores = 6000;
    serving.serves = true;
    serving.image = "server";
    vm.add_run({{"serving-" + name, 0, 0, 0}, 1}, serving);
    vm.serving_used_millicores = 2000;
    vm.serving = {{"server", own_headroom, 0, true}};
    return vm;
}

void add_filling(vm_state& vm, std::int64_t requested, std::int64_t used) {
    vm_run filling;
    filling.requested_millicores = requested;
    filling.fills_idle_cpu = true;
    filling.image = "filler";
    vm.add_run({{"filling", 0, 0, 0}, 1}, filling);
    vm.filling_used_millicores = used;
}

service_room room_of(const vm_table& vms, const std::set<failure_domain_name>& closed = {}) {
    return account_room(vms, closed, same_reserve, now_in_test)["service"];
}

// Load: serving tasks that reserve more than they use, beside a throttled filling task and one of
// neither kind. Guards against processor time that is counted twice or not at all.
TEST_CASE("the account of room splits the processor time of a VM by its use") {
    vm_table vms;
    vm_state& vm = add_vm(vms, "vm", 5.0);
    vm_run plain;
    plain.reserved.cpu_millicores = 1000;
    plain.requested_millicores = 1000;
    vm.add_run({{"plain", 0, 0, 0}, 1}, plain);
    add_filling(vm, 3000, 1200);
    const service_room room = room_of(vms);
    CHECK(room.vms == 1);
    CHECK(room.at(room_part::capacity) == 10000);
    CHECK(room.at(room_part::reserved_serving) == 6000);
    CHECK(room.at(room_part::reserved_other) == 1000);
    CHECK(room.at(room_part::used_serving) == 2000);
    CHECK(room.at(room_part::used_filling) == 1200);
    CHECK(room.at(room_part::requested_filling) == 3000);
    // 92% of the capacity may be used beside a serving task.
    CHECK(room.at(room_part::free) == 9200 - 1000 - 2000 - 3000);
    CHECK(room.at(room_part::withheld_headroom) == 0);
}

// Load: serving images with different headroom on one VM. Guards against an operator who looks for
// the lack of room at the wrong image.
TEST_CASE("the account of room names the serving image with the least headroom") {
    vm_table vms;
    add_vm(vms, "idle", 5.0);
    add_vm(vms, "busy", 2.1);
    vm_state& mixed = add_vm(vms, "mixed", 2.0);
    mixed.serving.push_back({"busier", 3.0, 1.5, true});
    const service_room room = room_of(vms);
    CHECK(room.at(room_part::free) == 3 * 7200);
    CHECK(room.at(room_part::withheld_headroom) == 2 * 7200);
    REQUIRE(room.withheld_by_image.size() == 2);
    CHECK(room.withheld_by_image.at("server").vms == 1);
    CHECK(room.withheld_by_image.at("server").millicores == 7200);
    CHECK(room.withheld_by_image.at("busier").vms == 1);
}

// Failure: a failure domain is closed while a runner in it drains. Guards against room that looks
// available there, and against room that is withheld for two reasons at the same time.
TEST_CASE("the account of room shows what closed domains and draining runners withhold") {
    vm_table vms;
    add_vm(vms, "ready", 5.0);
    add_vm(vms, "closed", 1.0).runner.failure_domain = "north";
    vm_state& draining = add_vm(vms, "draining", 1.0);
    draining.runner.failure_domain = "north";
    draining.runner.state = runner_state::draining;
    const service_room room = room_of(vms, {"north"});
    CHECK(room.at(room_part::withheld_closed) == 7200);
    CHECK(room.at(room_part::withheld_draining) == 7200);
    CHECK(room.at(room_part::withheld_headroom) == 0);
    CHECK(room.withheld_by_image.empty());
}

// Failure: a VM falls silent. Guards against room that is shown on a VM that may be lost; the
// scheduler itself gives up its runs only when their permission has ended.
TEST_CASE("a VM that does not report is not counted as room") {
    contended_vms vms(2);
    CHECK(vms.scheduler.account_room(vms.now())["service"].vms == 2);
    vms.reports.erase("vm-1");
    vms.exchange(counted_report_age - milliseconds(100));
    CHECK(vms.scheduler.account_room(vms.now())["service"].vms == 2);
    vms.exchange();
    const service_room room = vms.scheduler.account_room(vms.now())["service"];
    CHECK(room.vms == 1);
    CHECK(room.at(room_part::capacity) == 10000);
}

// Load: filling work that waits for headroom beside one VM and for processor time beside another.
// Guards against an operator who adds VMs although the serving tasks' headroom is the cause.
TEST_CASE("the explanation of a filling step tells a lack of headroom from one of processor time") {
    contended_vms vms(2);
    job_spec plain = make_plain_job("plain", 1);
    plain.steps[0].need.cpu_millicores = 9000;
    plain.steps[0].long_running = true;
    vms.scheduler.add_job(plain);
    vms.exchange();
    vms.add_serving("serving", "server", 1, 6000);
    vms.exchange();
    vms.set_slope("server", "heavy", 50.0);
    vms.measure(25);
    vms.set_slope("server", "light", 0.1);
    job_spec light = make_plain_job("light", 2);
    light.steps[0].need.cpu_millicores = 2000;
    light.steps[0].fills_idle_cpu = true;
    light.steps[0].max_per_vm = 1;
    light.steps[0].image = "light";
    vms.scheduler.add_job(light);
    vms.exchange();
    REQUIRE(vms.runs_of("light") == 2);
    vms.add_filling("heavy", "heavy", 1);
    vms.exchange();
    const std::optional<job_explanation> job =
        vms.scheduler.explain("heavy", vms.now(), vms.time.count());
    REQUIRE(job.has_value());
    const step_explanation& step = job->steps.front();
    REQUIRE(step.waits_for == step_wait::room);
    CHECK(step.obstacles.at(placement_obstacle::little_headroom) == 1);
    CHECK(step.obstacles.at(placement_obstacle::too_slow) == 1);
    REQUIRE(step.room.has_value());
    CHECK(step.room->vms == 2);
    CHECK(step.room->at(room_part::reserved_serving) == 6000);
    CHECK(step.room->at(room_part::reserved_other) == 9000);
}

} // namespace
} // namespace egretstile
