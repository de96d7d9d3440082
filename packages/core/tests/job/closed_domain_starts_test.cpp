#include "job/simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

constexpr milliseconds age_limit = scheduler_settings().closure_age_limit;

std::size_t count_of(const simulated_vms& vms, decision_kind kind) {
    return static_cast<std::size_t>(
        std::count_if(vms.decisions.begin(), vms.decisions.end(),
                      [kind](const decision& made) { return made.kind == kind; }));
}

} // namespace

// Guards against a leader that cannot read the store and goes on to start tasks in a failure domain
// that the operators have closed meanwhile.
TEST_CASE("no task is started when the closed failure domains were confirmed too long ago") {
    simulated_vms vms(2);
    vms.exchange();
    vms.confirms_closed_domains = false;
    vms.exchange(age_limit - milliseconds(200));
    vms.scheduler.add_job(make_plain_job("early", 1));
    CHECK(vms.exchange().size() == 1);
    vms.scheduler.add_job(make_plain_job("late", 1));
    CHECK(vms.exchange().empty());
    CHECK(vms.exchange().empty());
    CHECK(count_of(vms, decision_kind::starts_paused) == 1);
    vms.confirms_closed_domains = true;
    CHECK(vms.exchange().size() == 1);
    CHECK(count_of(vms, decision_kind::starts_resumed) == 1);
}

// Guards against an order that is sent in time, arrives late and starts a task in a failure domain
// that was closed while it was on its way.
TEST_CASE("an order says how long its starts are allowed by the confirmed closed domains") {
    simulated_vms vms(1);
    vms.exchange();
    const boot_time confirmed_at = vms.now();
    vms.confirms_closed_domains = false;
    vms.exchange(milliseconds(2000));
    vm_report& report = vms.reports.begin()->second;
    const boot_time reported_at = vms.now();
    vms.scheduler.add_job(make_plain_job("job", 1));
    vms.scheduler.schedule(vms.now() + milliseconds(50), vms.time.count());
    const vm_orders orders = vms.scheduler.take_orders(report.vm, 0);
    REQUIRE(orders.starts.size() == 1);
    CHECK(orders.based_on_report == report.sequence);
    CHECK(reported_at + milliseconds(orders.start_within_ms) == confirmed_at + age_limit);
}

// Guards against a stalled task that is stopped to be moved and then not started anywhere.
TEST_CASE("no task is moved while no task may be started") {
    simulated_vms vms(2);
    vms.scheduler.add_job(make_plain_job("job", 1));
    vms.exchange();
    vms.exchange();
    vms.confirms_closed_domains = false;
    for (milliseconds passed{0}; passed < age_limit + scheduler_settings().stall_limit;
         passed += milliseconds(500)) {
        // Some progress until starts are paused; none afterwards.
        if (passed < age_limit) {
            for (auto& [name, report] : vms.reports) {
                for (active_run& active : report.active) {
                    ++active.percent;
                }
            }
        }
        vms.exchange(milliseconds(500));
    }
    vms.exchange(milliseconds(1000));
    CHECK(vms.stops.empty());
    CHECK(count_of(vms, decision_kind::move_task) == 0);
}

} // namespace egretstile
