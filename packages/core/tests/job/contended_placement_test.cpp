#include "contended_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

/// Headroom 2.4 at this latency: above the smaller reserve for a placement, and too close to the
/// larger one for a task that takes 0.6 of it.
constexpr std::uint32_t busy_latency_ms = 42;
constexpr double busy_slope = 3.0;

std::size_t most_images_on_a_vm(const simulated_vms& vms) {
    std::size_t most = 0;
    for (const auto& [name, vm] : vms.scheduler.vms()) {
        most = std::max(most, vm.serving_by_image.size());
    }
    return most;
}

// Load: serving tasks of three images are submitted in turn. Guards against VMs that all run
// several images, so that no VM has headroom while any image is busy.
TEST_CASE("serving tasks that are submitted in turn share VMs by image") {
    contended_vms vms(3);
    for (int turn = 0; turn < 4; ++turn) {
        for (const std::string image : {"a", "b", "c"}) {
            vms.add_serving(image + std::to_string(turn), image, 1, 2000);
            vms.exchange();
        }
    }
    CHECK(most_images_on_a_vm(vms) == 1);
}

// Load: more serving images than VMs. Guards against serving tasks that wait for a VM of their own,
// and against images that gather on one VM.
TEST_CASE("serving tasks of more images than VMs all start beside the fewest other images") {
    contended_vms vms(2);
    for (const std::string image : {"a", "b", "c", "d"}) {
        vms.add_serving(image, image, 2, 2000);
        vms.exchange();
        CHECK(vms.runs_of(image) == 2);
    }
    CHECK(most_images_on_a_vm(vms) == 2);
}

// Load: a filling image that disturbs one serving image heavily and another hardly. Guards against
// filling tasks that wait although the other image's VMs have headroom.
TEST_CASE("a filling image that is heavy for one serving image is placed beside another") {
    contended_vms vms(2);
    vms.add_serving("fragile", "fragile", 2, 2500);
    vms.exchange();
    vms.add_serving("robust", "robust", 2, 2500);
    vms.exchange();
    REQUIRE(most_images_on_a_vm(vms) == 1);
    vms.set_slope("fragile", "heavy", 20.0);
    vms.set_slope("robust", "heavy", 0.3);
    vms.measure(25);
    vms.add_filling("filling", "heavy", 2);
    vms.exchange();
    REQUIRE(vms.runs_of("filling") == 2);
    for (const auto& [name, vm] : vms.scheduler.vms()) {
        CHECK((vm.filling_millicores == 0 || vm.serving_by_image.count("fragile") == 0));
    }
}

// Load: filling work beside a serving task with little headroom, in time and too late. Guards
// against idle processor time while work waits that can be in time, and against a smaller reserve
// for the sake of work that is too late or when none waits.
TEST_CASE("the reserve of headroom is smaller only while filling work waits that can be in time") {
    contended_vms vms(1);
    vms.add_serving("serving", "server", 1, 6000);
    vms.exchange();
    vms.set_slope("server", "busy", busy_slope);
    vms.measure(busy_latency_ms);

    vms.add_filling("too_late", "busy", 1, milliseconds(20000));
    for (int pass = 0; pass < 10; ++pass) {
        vms.exchange();
    }
    REQUIRE(vms.runs_of("too_late") == 0);

    vms.add_filling("in_time", "busy", 1);
    vms.exchange();
    CHECK(vms.runs_of("in_time") == 0); // The reserve changes with the next pass.
    vms.exchange();
    CHECK(vms.runs_of("in_time") == 1);
    CHECK(vms.runs_of("too_late") == 0);

    vms.end_run("vm-0", {{"in_time", 0, 0, 0}, 1}, run_outcome::done);
    for (int pass = 0; pass < 10; ++pass) {
        vms.exchange();
    }
    CHECK(vms.runs_of("too_late") == 0);
}

// Guards against work of one service that takes headroom from the serving tasks of another.
TEST_CASE("waiting filling work of another service does not change the reserve of headroom") {
    contended_vms vms(1);
    vms.add_serving("serving", "server", 1, 6000);
    vms.exchange();
    vms.set_slope("server", "busy", busy_slope);
    vms.measure(busy_latency_ms);
    job_spec other = make_plain_job("other", 1);
    other.policy.service = "other service";
    other.steps[0].fills_idle_cpu = true;
    other.accepted_at_ms = vms.time.count();
    vms.scheduler.add_job(other);
    vms.add_filling("too_late", "busy", 1, milliseconds(20000));
    for (int pass = 0; pass < 5; ++pass) {
        vms.exchange();
    }
    CHECK(vms.runs_of("too_late") == 0);
}

// Guards against a changed behaviour of deployments that have not asked for the part.
TEST_CASE("without placement by contention the reserve of headroom stays the larger one") {
    contended_vms vms(1, false);
    vms.add_serving("serving", "server", 1, 6000);
    vms.exchange();
    vms.set_slope("server", "busy", busy_slope);
    vms.measure(busy_latency_ms);
    vms.add_filling("in_time", "busy", 1);
    for (int pass = 0; pass < 10; ++pass) {
        vms.exchange();
    }
    CHECK(vms.runs_of("in_time") == 0);
}

// Failure: the leader is lost, and the next one has seen no latency of the serving tasks yet.
// Guards against filling tasks that are placed by a default headroom with the smaller reserve.
TEST_CASE("a leader without measured headrooms keeps the larger reserve until it has them") {
    contended_vms vms(1);
    vms.add_serving("serving", "server", 1, 6000);
    vms.exchange();
    vms.set_slope("server", "busy", busy_slope);
    vms.add_filling("filling", "busy", 1);
    for (int pass = 0; pass < 10; ++pass) {
        vms.exchange();
    }
    CHECK(vms.runs_of("filling") == 0);
    vms.measure(busy_latency_ms);
    CHECK(vms.runs_of("filling") == 1);
}

} // namespace
} // namespace egretstile
