#include "played_vms.hpp"

#include <catch2/catch.hpp>

#include <set>

namespace egretstile {
namespace {

job_spec make_gang(const job_id& id, std::uint32_t members, bool rack_local) {
    job_spec job = make_plain_job(id, members);
    job.steps[0].gang = true;
    job.steps[0].rack_local = rack_local;
    return job;
}

std::set<std::string> racks_of(const played_vms& vms, const std::vector<start_order>& starts) {
    std::set<std::string> racks;
    for (const start_order& start : starts) {
        racks.insert(vms.reports.at(vms.vm_of(start.run)).runner.rack);
    }
    return racks;
}

// Guards against members that hold their VMs and wait in vain for one that will never come.
TEST_CASE("when one member of a gang does not start, the others are stopped and all start again") {
    played_vms vms(4);
    vms.exchange();
    vms.scheduler.add_job(make_gang("job", 4, false));
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(starts.size() == 4);
    const vm_name refusing = vms.vm_of(starts[0].run);
    vm_report& report = vms.reports.at(refusing);
    std::erase_if(report.active,
                  [&](const active_run& active) { return active.run == starts[0].run; });
    report.rejected.push_back({starts[0].run, "unhealthy"});
    vms.exchange();
    report.rejected.clear();
    CHECK(vms.stops.size() == 3);
    std::vector<start_order> again;
    for (int round = 0; round < 5 && again.empty(); ++round) {
        again = vms.exchange();
    }
    REQUIRE(again.size() == 4);
    for (const start_order& start : again) {
        CHECK(start.run.attempt == again.front().run.attempt);
        CHECK(start.run.attempt > starts.front().run.attempt);
    }
}

// Guards against a gang that is spread over racks, where it works at a fraction of its speed.
TEST_CASE("a gang that is slower on several racks starts on one when one has the room") {
    played_vms vms(6);
    vms.exchange();
    // The rack with the least work is not the one that the first member would take.
    vms.scheduler.add_job(make_plain_job("other", 7));
    vms.exchange();
    vms.scheduler.add_job(make_gang("job", 12, true));
    const std::vector<start_order> starts = vms.exchange();
    REQUIRE(starts.size() == 12);
    CHECK(racks_of(vms, starts).size() == 1);
}

// Guards against a gang that waits for ever because no rack is large enough.
TEST_CASE("a gang that no rack can hold starts on several") {
    played_vms vms(4);
    vms.exchange();
    vms.scheduler.add_job(make_gang("job", 30, true));
    const std::vector<start_order> starts = vms.exchange();
    CHECK(starts.size() == 30);
    CHECK(racks_of(vms, starts).size() == 2);
}

// Guards against reservations that stay when a gang finds no room for its last member.
TEST_CASE("a gang without room for all members leaves the room to others") {
    played_vms vms(2);
    vms.exchange();
    vms.scheduler.add_job(make_gang("job", 21, true));
    CHECK(vms.exchange().empty());
    vms.scheduler.add_job(make_plain_job("other", 20));
    CHECK(vms.exchange().size() == 20);
}

} // namespace
} // namespace egretstile
