#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile {
namespace {

constexpr std::uint32_t tasks = 10;

/// One VM, with room for all tasks, whose agent rejects every start with its next report.
class rejecting_vm : public simulated_vms {
public:
    rejecting_vm()
        : simulated_vms(1) {
        exchange();
        scheduler.add_job(make_plain_job("job", tasks));
    }

    /// Number of starts that are ordered within `length`.
    std::size_t count_orders(milliseconds length) {
        std::size_t orders = 0;
        vm_report& report = reports.begin()->second;
        for (milliseconds elapsed(0); elapsed < length; elapsed += milliseconds(100)) {
            const std::vector<start_order> starts = exchange();
            orders += starts.size();
            report.active.clear();
            report.rejected.clear();
            for (const start_order& start : starts) {
                report.rejected.push_back({start.run, "unhealthy"});
            }
        }
        return orders;
    }
};

} // namespace

// Guards against a leader that orders all waiting tasks again and again on the one VM that has
// room, because its agent rejects them.
TEST_CASE("a VM that rejects all starts gets few of them") {
    rejecting_vm vm;
    CHECK(vm.count_orders(milliseconds(10000)) <= 6 * tasks);
    // One start a second at most once the pause has reached its longest.
    CHECK(vm.count_orders(milliseconds(10000)) <= 10);
    CHECK(std::any_of(vm.decisions.begin(), vm.decisions.end(), [](const decision& made) {
        return made.kind == decision_kind::limit_starts;
    }));
}

// Guards against a VM that stays without work after its runner starts tasks again.
TEST_CASE("a VM that rejected starts gets all tasks once its runner lists one") {
    rejecting_vm vm;
    vm.count_orders(milliseconds(10000));
    vm.reports.begin()->second.rejected.clear();
    std::size_t started = 0;
    for (milliseconds elapsed(0); elapsed < milliseconds(1500); elapsed += milliseconds(100)) {
        started += vm.exchange().size();
    }
    CHECK(started == tasks);
}

// Guards against starts that are delayed because a single event, such as a new connection, has lost
// many orders.
TEST_CASE("rejections in one report do not limit the starts on the VM") {
    rejecting_vm vm;
    CHECK(vm.count_orders(milliseconds(100)) == tasks);
    vm.exchange();
    vm.reports.begin()->second.rejected.clear();
    CHECK(vm.exchange().size() == tasks);
}

} // namespace egretstile
