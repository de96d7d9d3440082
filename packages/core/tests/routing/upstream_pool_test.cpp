#include "router_fixture.hpp"

#include <egretstile/core/routing/upstream_pool.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

namespace egretstile {
namespace {

using namespace testing;

upstream_pool pool_with(int upstreams, routing_settings settings = {}) {
    upstream_pool pool(settings);
    for (int i = 0; i < upstreams; ++i) {
        pool.update(ready_upstream("vm-" + std::to_string(i)), router_start);
    }
    return pool;
}

void complete_attempt(upstream_pool& pool, const vm_name& vm, attempt_result result,
                      double latency_us, boot_time now) {
    pool.attempt_sent(vm);
    pool.attempt_ended(vm, result, refusal::none, latency_us, now);
}

std::set<vm_name> chosen_vms(upstream_pool& pool, boot_time now) {
    std::set<vm_name> chosen;
    for (int i = 0; i < 300; ++i) {
        if (const std::optional<vm_name> vm = pool.choose({}, now)) {
            chosen.insert(*vm);
        }
    }
    return chosen;
}

// Guards against requests to a failure domain that operators took out of service, and against an
// outage if no other domain has a ready upstream.
TEST_CASE("upstreams in a domain out of service are used only when no other is ready") {
    for (const enum_name<routing_policy>& policy : routing_policy_names) {
        routing_settings settings;
        settings.policy = policy.value;
        upstream_pool pool(settings);
        upstream_status out = ready_upstream("vm-out", "south");
        out.domain_in_service = false;
        out.latency_us = 1;
        pool.update(out, router_start);
        CHECK(pool.choose({}, router_start) == "vm-out");
        pool.update(ready_upstream("vm-in"), router_start);
        CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-in"});
        out.vm = "vm-later";
        pool.update(out, router_start);
        CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-in"});
    }
}

// Guards against a refused attempt at each upstream of a domain that was just taken out of service.
TEST_CASE("a refusal because of the domain counts for all upstreams of the domain") {
    upstream_pool pool(routing_settings{});
    pool.update(ready_upstream("vm-0", "south"), router_start);
    pool.update(ready_upstream("vm-1", "south"), router_start);
    pool.update(ready_upstream("vm-2", "north"), router_start);
    pool.attempt_sent("vm-0");
    pool.attempt_ended("vm-0", attempt_result::refused, refusal::domain_out, 0, router_start);
    CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-2"});
}

// Guards against requests to a VM whose agent has stopped reporting or is draining the VM.
TEST_CASE("an upstream is not used after its report is too old or it has refused as draining") {
    upstream_pool pool = pool_with(2);
    CHECK_FALSE(pool.choose({}, router_start + milliseconds(2001)).has_value());
    pool.attempt_sent("vm-0");
    pool.attempt_ended("vm-0", attempt_result::refused, refusal::draining, 0, router_start);
    CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-1"});
    pool.update(ready_upstream("vm-0"), router_start);
    CHECK(chosen_vms(pool, router_start).size() == 2);
}

// Guards against an overload in which one refusal makes the upstream unusable until its next
// report.
TEST_CASE("after a refusal for lack of capacity the upstream is used again after 20 ms") {
    upstream_pool pool = pool_with(1);
    pool.attempt_sent("vm-0");
    pool.attempt_ended("vm-0", attempt_result::refused, refusal::no_capacity, 0, router_start);
    CHECK_FALSE(pool.choose({}, router_start).has_value());
    CHECK(pool.choose({}, router_start + milliseconds(20)).has_value());
}

// Guards against a faulty upstream that attracts the load because it returns errors quickly.
TEST_CASE("an upstream that fails is ejected, and used again after the ejection") {
    // The policy is random, so that the load alone does not divert requests.
    routing_settings settings;
    settings.policy = routing_policy::random;
    upstream_pool pool = pool_with(4, settings);
    for (int i = 0; i < 5; ++i) {
        complete_attempt(pool, "vm-0", attempt_result::failed, 10, router_start);
    }
    CHECK(pool.is_ejected("vm-0", router_start));
    CHECK(chosen_vms(pool, router_start).count("vm-0") == 0);
    const boot_time later = router_start + upstream_health::initial_ejection_time;
    CHECK(chosen_vms(pool, later).count("vm-0") == 1);
    // On probation it gets only one request at a time.
    pool.attempt_sent("vm-0");
    CHECK(chosen_vms(pool, later).count("vm-0") == 0);
}

// Guards against a slow upstream that never fails.
TEST_CASE("an upstream several times slower than its peers is ejected") {
    upstream_pool pool = pool_with(5);
    std::set<vm_name> ejected;
    for (int i = 0; i < 20; ++i) {
        const boot_time now = router_start + milliseconds(200 * i);
        for (int vm = 0; vm < 5; ++vm) {
            const vm_name name = "vm-" + std::to_string(vm);
            complete_attempt(pool, name, attempt_result::answered, vm == 3 ? 60000 : 6000, now);
            if (pool.is_ejected(name, now)) {
                ejected.insert(name);
            }
        }
    }
    CHECK(ejected == std::set<vm_name>{"vm-3"});
}

// Guards against the ejection of all upstreams when a dependency that they share fails.
TEST_CASE("no more than max_ejected_percent of the upstreams, and never all, are ejected") {
    for (const int upstreams : {1, 2, 3, 11}) {
        upstream_pool pool = pool_with(upstreams);
        for (int i = 0; i < 100; ++i) {
            for (int vm = 0; vm < upstreams; ++vm) {
                complete_attempt(pool, "vm-" + std::to_string(vm), attempt_result::failed, 10,
                                 router_start);
            }
        }
        int ejected = 0;
        for (int vm = 0; vm < upstreams; ++vm) {
            ejected += pool.is_ejected("vm-" + std::to_string(vm), router_start) ? 1 : 0;
        }
        CHECK(ejected == (upstreams == 1 ? 0 : upstreams == 11 ? 3 : 1));
        CHECK(chosen_vms(pool, router_start).size() ==
              static_cast<std::size_t>(upstreams - ejected));
    }
}

// Guards against an ejected upstream that is not used although it is the only one left.
TEST_CASE("an ejected upstream is used when the others have left") {
    upstream_pool pool = pool_with(2);
    for (int i = 0; i < 5; ++i) {
        complete_attempt(pool, "vm-0", attempt_result::failed, 10, router_start);
    }
    CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-1"});
    pool.remove("vm-1");
    CHECK(chosen_vms(pool, router_start) == std::set<vm_name>{"vm-0"});
}

// Guards against an ejection that ends because the agent opens a new connection.
TEST_CASE("an ejection continues after a new registration") {
    upstream_pool pool = pool_with(3);
    for (int i = 0; i < 5; ++i) {
        complete_attempt(pool, "vm-0", attempt_result::failed, 10, router_start);
    }
    pool.remove("vm-0");
    pool.update(ready_upstream("vm-0"), router_start);
    CHECK(pool.is_ejected("vm-0", router_start));
}

// Guards against memory that grows with each VM that ever registered.
TEST_CASE("the state of a removed upstream is freed when its last attempt has ended") {
    upstream_pool pool = pool_with(2);
    pool.attempt_sent("vm-0");
    pool.remove("vm-0");
    pool.remove("vm-1");
    CHECK_FALSE(pool.empty());
    pool.attempt_ended("vm-0", attempt_result::answered, refusal::none, 100, router_start);
    CHECK(pool.empty());
}

// Guards against an upstream that hangs and is not ejected, because its attempts have no results.
TEST_CASE("attempts without a result at their deadline count as failures") {
    upstream_pool pool = pool_with(3);
    for (int i = 0; i < 5; ++i) {
        pool.attempt_sent("vm-0");
        pool.attempt_timed_out("vm-0", 2000000, router_start);
    }
    CHECK(pool.is_ejected("vm-0", router_start));
    CHECK(pool.outstanding("vm-0") == 5);
}

// Guards against hedges that queue at busy upstreams and so slow down an overloaded service.
TEST_CASE("a hedge is sent only to an upstream with a free slot") {
    upstream_pool pool(routing_settings{});
    upstream_status busy = ready_upstream("vm-0");
    busy.slots_in_use = busy.slots;
    pool.update(busy, router_start);
    CHECK(pool.choose({}, router_start) == "vm-0");
    CHECK_FALSE(pool.choose_for_hedge({}, router_start).has_value());
    pool.update(ready_upstream("vm-1"), router_start);
    CHECK(pool.choose_for_hedge({}, router_start) == "vm-1");
    for (int i = 0; i < 8; ++i) {
        pool.attempt_sent("vm-1");
    }
    CHECK_FALSE(pool.choose_for_hedge({}, router_start).has_value());
}

// Guards against requests that go to the busiest upstream, or always to the first of equal ones.
TEST_CASE("each policy spreads the load") {
    for (const enum_name<routing_policy>& policy : routing_policy_names) {
        routing_settings settings;
        settings.policy = policy.value;
        upstream_pool pool = pool_with(8, settings);
        std::map<vm_name, int> sent;
        for (int i = 0; i < 160; ++i) {
            const std::optional<vm_name> vm = pool.choose({}, router_start);
            REQUIRE(vm.has_value());
            pool.attempt_sent(*vm);
            ++sent[*vm];
        }
        CHECK(sent.size() == 8);
        const int most = policy.value == routing_policy::random ? 40 : 26;
        for (const auto& [vm, count] : sent) {
            CHECK(count <= most);
        }
    }
}

// Guards against a choice by load alone when noisy neighbours slow down some of the upstreams.
TEST_CASE("adaptive prefers upstreams that answer faster") {
    upstream_pool pool = pool_with(2);
    for (int i = 0; i < 20; ++i) {
        complete_attempt(pool, "vm-0", attempt_result::answered, 3000, router_start);
        complete_attempt(pool, "vm-1", attempt_result::answered, 1000, router_start);
    }
    CHECK(pool.choose({}, router_start) == "vm-1");
}

/// Simulates light load for `duration`: one request every 10 ms, answered with the latency of its
/// VM before the next one is sent. Returns the number of requests of each VM.
std::map<vm_name, int> send_sequentially(upstream_pool& pool,
                                         const std::map<vm_name, double>& latencies_us,
                                         milliseconds duration) {
    std::map<vm_name, int> requests;
    constexpr milliseconds interval(10);
    for (milliseconds elapsed(0); elapsed < duration; elapsed += interval) {
        const boot_time now = router_start + elapsed;
        for (const auto& [vm, latency_us] : latencies_us) {
            pool.update(ready_upstream(vm), now);
        }
        const std::optional<vm_name> vm = pool.choose({}, now);
        REQUIRE(vm.has_value());
        complete_attempt(pool, *vm, attempt_result::answered, latencies_us.at(*vm), now);
        ++requests[*vm];
    }
    return requests;
}

// Guards against an upstream that gets no requests for seconds because its first answers took
// slightly longer than those of the others.
TEST_CASE("light load is spread over upstreams with similar latencies") {
    upstream_pool pool(routing_settings{});
    std::map<vm_name, int> requests = send_sequentially(
        pool, {{"vm-0", 2100}, {"vm-1", 2400}, {"vm-2", 2000}}, milliseconds(3000));
    CHECK(requests["vm-0"] > 50);
    CHECK(requests["vm-1"] > 50);
    CHECK(requests["vm-2"] > 50);
}

// Guards against an upstream that is never used again after it was slow for a short time, and
// against too many requests to an upstream that is still slow.
TEST_CASE("an upstream that was slower than the others is tried again from time to time") {
    upstream_pool pool(routing_settings{});
    std::map<vm_name, int> requests = send_sequentially(
        pool, {{"vm-0", 2000}, {"vm-1", 6000}, {"vm-2", 2000}}, milliseconds(20000));
    CHECK(requests["vm-1"] >= 5);
    CHECK(requests["vm-1"] < 40);
}

// Guards against an upstream that gets hardly any requests for many seconds because its first
// answer was late: one fast answer to each new measurement did not outweigh the late one.
TEST_CASE("an upstream whose first answer was late gets its share after the next measurement") {
    upstream_pool pool = pool_with(3);
    complete_attempt(pool, "vm-1", attempt_result::answered, 300000, router_start);
    std::map<vm_name, int> requests = send_sequentially(
        pool, {{"vm-0", 2000}, {"vm-1", 2000}, {"vm-2", 2000}}, milliseconds(5000));
    CHECK(requests["vm-1"] > requests["vm-0"] / 4);
}

} // namespace
} // namespace egretstile
