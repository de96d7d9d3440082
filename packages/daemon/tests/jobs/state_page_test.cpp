#include "jobs/state_page.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace egretstile::daemon {
namespace {

Poco::JSON::Object::Ptr parsed(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

deployment_state two_entries() {
    deployment_state state;
    state.entry = "edge-1";
    state.leader = "edge-1";
    state.epoch = 3;
    state.config_version = 9;
    state.entries = {{"edge-2", 7, 120}, {"edge-3", 9, 80}};
    return state;
}

// Guards against operators who believe that all entries have applied a change while one of them
// still has an older configuration.
TEST_CASE("the leader's state shows the oldest configuration version that an entry has applied") {
    const job_scheduler scheduler({}, 3, std::make_unique<separating_placer>(),
                                  [](const decision&) {});
    operator_config config;
    config.version = 9;
    config.queues.push_back({"queue", "host", "/prefix/", "service"});
    const Poco::JSON::Object::Ptr state =
        parsed(describe_deployment(two_entries(), &config, &scheduler, boot_time()));
    CHECK(state->getValue<std::uint64_t>("oldest_config_version") == 7);
    CHECK(state->getArray("entries")->size() == 2);
    CHECK(state->getArray("queues")->getObject(0)->getValue<double>("run_time_ratio") == 1.0);
    CHECK(state->has("room"));
    CHECK(state->getArray("queues")->getObject(0)->getValue<std::string>("name") == "queue");
}

// Guards against an entry that does not lead and shows a deployment without jobs and VMs.
TEST_CASE("the state of an entry that does not lead names the leader and omits jobs and VMs") {
    const Poco::JSON::Object::Ptr state =
        parsed(describe_deployment(two_entries(), nullptr, nullptr, boot_time()));
    CHECK(state->getValue<std::string>("leader") == "edge-1");
    CHECK_FALSE(state->has("jobs"));
    CHECK_FALSE(state->has("vms"));
}

// Guards against an explanation that scripts cannot parse.
TEST_CASE("the explanation of a job lists its steps, runs and obstacles by name") {
    job_explanation job;
    job.state = job_state::running;
    job.queue = "queue";
    step_explanation step;
    step.step = 1;
    step.waiting = 2;
    step.waits_for = step_wait::room;
    step.obstacles[placement_obstacle::no_room] = 11;
    step.obstacles[placement_obstacle::little_headroom] = 4;
    service_room room;
    room.vms = 15;
    room.at(room_part::withheld_headroom) = 9000;
    room.withheld_by_image["server"] = {4, 9000};
    step.room = room;
    step.running.push_back({{"a1", 0, 1, 4}, 2, "side-1", 40, false});
    job.steps.push_back(step);
    step_explanation near;
    near.waits_for = step_wait::near_place;
    near.near_rack = "rack-3";
    near.near_wait_left_ms = 250;
    job.steps.push_back(near);
    const Poco::JSON::Object::Ptr page = parsed(describe_job("a1", job));
    CHECK(page->getValue<std::string>("state") == "running");
    const Poco::JSON::Object::Ptr shown = page->getArray("steps")->getObject(0);
    CHECK(shown->getValue<std::string>("step") == "0.1");
    CHECK(shown->getValue<std::string>("waits_for") == "room");
    CHECK(shown->getObject("vms_by_obstacle")->getValue<int>("no_room") == 11);
    CHECK(shown->getObject("vms_by_obstacle")->getValue<int>("little_headroom") == 4);
    const Poco::JSON::Object::Ptr withheld = shown->getObject("room");
    CHECK(withheld->getValue<int>("withheld_headroom_millicores") == 9000);
    CHECK(withheld->getObject("withheld_headroom_by_image")
              ->getObject("server")
              ->getValue<int>("vms") == 4);
    CHECK_FALSE(shown->has("near_rack"));
    const Poco::JSON::Object::Ptr shown_near = page->getArray("steps")->getObject(1);
    CHECK(shown_near->getValue<std::string>("waits_for") == "near_place");
    CHECK(shown_near->getValue<std::string>("near_rack") == "rack-3");
    CHECK(shown_near->getValue<int>("near_wait_left_ms") == 250);
    CHECK(shown->getArray("running")->getObject(0)->getValue<std::string>("task") == "a1.0.1.4");
}

} // namespace
} // namespace egretstile::daemon
