#include "placement/vm_fixture.hpp"

#include <egretstile/core/interference/interference_controller.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <vector>

namespace egretstile {
namespace {

using namespace testing;

constexpr boot_time start{std::chrono::seconds(1000)};
constexpr milliseconds interval{500};

interference_model model_with_undisturbed(std::uint32_t latency_us) {
    interference_model model;
    const vm_view alone = service_vm("alone", latency_us);
    model.observe(alone, start);
    model.observe(alone, start + interference_model::settle_time);
    return model;
}

/// Feeds a controller with reports of one VM and keeps what it commanded.
class controlled_vm {
public:
    explicit controlled_vm(const interference_settings& settings = {})
        : controller_(settings)
        , view_(service_vm("vm")) {
        add_run(view_, "large", task_kind::reconciliation, 32000);
        add_run(view_, "small", task_kind::reconciliation, 4000);
    }

    /// Reports this answer time for so long.
    void report(std::uint32_t latency_us, milliseconds length) {
        view_.latency_us = latency_us;
        for (milliseconds passed{0}; passed < length; passed += interval) {
            now_ += interval;
            for (const interference_action& action :
                 controller_.decide(view_, model_, owned_, now_)) {
                apply(action);
            }
        }
    }

    std::uint32_t limit(const task_key& key) const {
        const auto found = limits_.find(key);
        return found == limits_.end() ? 100 : found->second;
    }

    const std::vector<task_key>& evicted() const { return evicted_; }

    std::size_t changes() const { return changes_; }

    void own_only(const task_key& key) {
        owned_ = [key](const task_run& run) { return run.key == key; };
    }

    void stop_service() { view_.service.clear(); }

private:
    void apply(const interference_action& action) {
        if (const auto* const throttle = std::get_if<throttle_run>(&action)) {
            changes_ += limit(throttle->run.key) != throttle->cpu_percent ? 1 : 0;
            limits_[throttle->run.key] = throttle->cpu_percent;
        } else {
            evicted_.push_back(std::get<evict_run>(action).run.key);
        }
    }

    interference_controller controller_;
    interference_model model_{model_with_undisturbed(1000)};
    vm_view view_;
    interference_controller::run_filter owned_{[](const task_run&) { return true; }};
    boot_time now_{start};
    std::map<task_key, std::uint32_t> limits_;
    std::vector<task_key> evicted_;
    std::size_t changes_{0};
};

// Guards against an eviction where a throttle would do.
TEST_CASE("the most disturbing run is throttled first, step by step") {
    controlled_vm vm;
    vm.report(2000, milliseconds(1500));
    CHECK(vm.limit("large") == 60);
    CHECK(vm.limit("small") == 100);
    vm.report(2000, milliseconds(2000));
    CHECK(vm.limit("large") == 35);
    CHECK(vm.evicted().empty());
}

// Guards against changes faster than the measurements show their effect.
TEST_CASE("changes keep the minimum dwell time") {
    controlled_vm vm;
    vm.report(3000, milliseconds(10000));
    CHECK(vm.changes() <= 5);
}

// Guards against a throttle for one late or stalled report.
TEST_CASE("one wrong report changes nothing") {
    controlled_vm vm;
    vm.report(1000, milliseconds(5000));
    vm.report(50000, interval);
    vm.report(1000, milliseconds(5000));
    CHECK(vm.changes() == 0);
}

// Guards against a controller that throttles and relaxes in turns at its limit.
TEST_CASE("between the limits nothing changes") {
    controlled_vm vm;
    vm.report(2000, milliseconds(1500));
    REQUIRE(vm.changes() == 1);
    const interference_controller limits(interference_settings{});
    const double between = (limits.lower_limit() + limits.upper_limit()) / 2;
    vm.report(static_cast<std::uint32_t>(1000 * between), milliseconds(60000));
    CHECK(vm.changes() == 1);
}

// Guards against batch tasks that stay slow after the service has recovered, and against a jump
// back to the disturbance.
TEST_CASE("throttles are relaxed gradually") {
    controlled_vm vm;
    vm.report(2000, milliseconds(3500));
    REQUIRE(vm.limit("large") == 35);
    vm.report(1000, milliseconds(6500));
    CHECK(vm.limit("large") == 60);
    vm.report(1000, milliseconds(6500));
    CHECK(vm.limit("large") == 100);
}

// Guards against a disturbed service when throttling does not help, against an eviction before it
// was tried for long enough, and against one eviction after the other.
TEST_CASE("an eviction follows only when all runs are throttled fully, one at a time") {
    controlled_vm vm;
    vm.report(8000, milliseconds(14000));
    CHECK(vm.limit("large") == 15);
    CHECK(vm.limit("small") == 15);
    CHECK(vm.evicted().empty());
    vm.report(8000, milliseconds(21000));
    CHECK(vm.evicted() == std::vector<task_key>{"large"});
    vm.report(8000, milliseconds(30000));
    CHECK(vm.evicted().size() == 1);
}

// Guards against a setting without effect: a workspace that values throughput must see fewer
// evictions and later throttles.
TEST_CASE("the tail weight decides between tail and throughput") {
    interference_settings tail;
    tail.tail_weight = 1.0;
    interference_settings throughput;
    throughput.tail_weight = 0.0;
    CHECK(interference_controller(tail).upper_limit() <
          interference_controller(throughput).upper_limit());
    controlled_vm strict(tail);
    controlled_vm lenient(throughput);
    strict.report(1300, milliseconds(5000));
    lenient.report(1300, milliseconds(5000));
    CHECK(strict.changes() > 0);
    CHECK(lenient.changes() == 0);
    strict.report(4000, milliseconds(60000));
    lenient.report(4000, milliseconds(60000));
    CHECK(strict.evicted().size() == 1);
    CHECK(lenient.evicted().empty());
}

// Guards against commands for runs of another owner, which the agent refuses.
TEST_CASE("only runs of this owner are commanded") {
    controlled_vm vm;
    vm.own_only("small");
    vm.report(3000, milliseconds(60000));
    CHECK(vm.limit("large") == 100);
    CHECK(vm.limit("small") == 15);
}

// Guards against tasks that stay throttled on a VM whose service is gone.
TEST_CASE("throttles end when the service leaves") {
    controlled_vm vm;
    vm.report(2000, milliseconds(3500));
    vm.stop_service();
    vm.report(0, milliseconds(20000));
    CHECK(vm.limit("large") == 100);
}

} // namespace
} // namespace egretstile
