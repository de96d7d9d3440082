#include "router_fixture.hpp"

#include <egretstile/core/routing/request_router.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace egretstile {
namespace {

using namespace testing;
using outcome = finish_request::outcome_kind;

request_router router_with(int upstreams, routing_settings settings = {}) {
    request_router router(settings);
    for (int i = 0; i < upstreams; ++i) {
        router.observe_upstream(ready_upstream("vm-" + std::to_string(i)), router_start);
    }
    return router;
}

vm_name sent_vm(const std::vector<routing_step>& steps) {
    REQUIRE(sends(steps).size() == 1);
    return sends(steps).front().vm;
}

outcome finished(const std::vector<routing_step>& steps) {
    REQUIRE(finishes(steps).size() == 1);
    return finishes(steps).front().outcome;
}

// Guards against a refused reconciliation that is given up although another upstream is free.
TEST_CASE("a refused non-idempotent request is sent to another upstream") {
    for (const attempt_result result : {attempt_result::refused, attempt_result::not_sent}) {
        request_router router = router_with(3);
        const vm_name first = sent_vm(router.begin(lookup(1, false), router_start));
        const std::vector<routing_step> steps =
            router.attempt_finished(1, 1, result, refusal::not_ready, router_start);
        CHECK(sent_vm(steps) != first);
        CHECK(finishes(steps).empty());
    }
}

// Guards against a reconciliation that runs twice, and against "not run" for one that may have run.
TEST_CASE("a failed non-idempotent request is not repeated and its outcome is unknown") {
    request_router router = router_with(3);
    (void)router.begin(lookup(1, false), router_start);
    const std::vector<routing_step> steps =
        router.attempt_finished(1, 1, attempt_result::failed, refusal::none, router_start);
    CHECK(sends(steps).empty());
    CHECK(finished(steps) == outcome::unknown);
    CHECK_FALSE(router.next_tick().has_value());
}

// Guards against "not run" when an earlier attempt may have run and only the last was refused.
TEST_CASE("a refusal after a failure leaves the outcome unknown") {
    routing_settings settings;
    settings.max_attempts = 2;
    request_router router = router_with(3, settings);
    (void)router.begin(lookup(1), router_start);
    const std::vector<routing_step> retry =
        router.attempt_finished(1, 1, attempt_result::failed, refusal::none, router_start);
    CHECK(sends(retry).size() == 1);
    CHECK(finished(router.attempt_finished(1, 2, attempt_result::refused, refusal::no_capacity,
                                           router_start)) == outcome::unknown);
}

// Guards against "not run" for a duplicate whose first copy may have run.
TEST_CASE("a refusal as a duplicate counts as unknown") {
    request_router router = router_with(3);
    (void)router.begin(lookup(1, false), router_start);
    CHECK(finished(router.attempt_finished(1, 1, attempt_result::refused, refusal::duplicate,
                                           router_start)) == outcome::unknown);
}

// Guards against an endless walk through upstreams that all refuse.
TEST_CASE("refusals everywhere end as not run with the reason after the most attempts") {
    request_router router = router_with(5);
    (void)router.begin(lookup(1, false), router_start);
    for (std::uint32_t attempt = 1; attempt < 3; ++attempt) {
        CHECK(sends(router.attempt_finished(1, attempt, attempt_result::refused,
                                            refusal::no_capacity, router_start))
                  .size() == 1);
    }
    const std::vector<routing_step> last =
        router.attempt_finished(1, 3, attempt_result::refused, refusal::no_capacity, router_start);
    CHECK(finished(last) == outcome::not_run);
    CHECK(finishes(last).front().reason == refusal::no_capacity);
}

// Guards against a request that arrives when a place is free and overtakes those that wait for it.
TEST_CASE("waiting requests are sent in order of arrival") {
    request_router router(routing_settings{});
    (void)router.begin(lookup(1), router_start);
    (void)router.begin(lookup(2), router_start);
    router.observe_upstream(ready_upstream("vm-0"), router_start);
    const std::vector<send_attempt> sent = sends(router.begin(lookup(3), router_start));
    REQUIRE(sent.size() == 3);
    CHECK(sent.at(0).request_id == 1);
    CHECK(sent.at(1).request_id == 2);
    CHECK(sent.at(2).request_id == 3);
}

// Guards against attempts whose answer nobody waits for.
TEST_CASE("nothing is sent at or after the deadline") {
    request_router router = router_with(3);
    const std::vector<routing_step> expired =
        router.begin(lookup(1, true, router_start), router_start);
    CHECK(sends(expired).empty());
    CHECK(finished(expired) == outcome::not_run);
    (void)router.begin(lookup(2, true, router_start + milliseconds(50)), router_start);
    const std::vector<routing_step> late = router.attempt_finished(
        2, 1, attempt_result::refused, refusal::no_capacity, router_start + milliseconds(50));
    CHECK(sends(late).empty());
    CHECK(finished(late) == outcome::not_run);
}

// Guards against a hedge for a request that waits and has nothing in progress.
TEST_CASE("a request that waits again after a refusal is sent once") {
    request_router router = router_with(1);
    (void)router.begin(lookup(1), router_start);
    CHECK(router
              .attempt_finished(1, 1, attempt_result::refused, refusal::not_ready,
                                router_start + milliseconds(90))
              .empty());
    const boot_time later = router_start + milliseconds(100);
    router.observe_upstream(ready_upstream("vm-0"), later);
    router.observe_upstream(ready_upstream("vm-1"), later);
    CHECK(sends(router.tick(later)).size() == 1);
    CHECK(router.waiting_requests() == 0);
}

// Guards against requests that fail at once while an upstream is about to register.
TEST_CASE("a request without an upstream waits, and is sent when one becomes ready") {
    request_router router(routing_settings{});
    CHECK(router.begin(lookup(1), router_start).empty());
    CHECK(router.waiting_requests() == 1);
    const boot_time later = router_start + milliseconds(500);
    router.observe_upstream(ready_upstream("vm-0"), later);
    REQUIRE(router.next_tick().has_value());
    CHECK(*router.next_tick() <= later);
    CHECK(sent_vm(router.tick(later)) == "vm-0");
    CHECK(router.waiting_requests() == 0);
}

// Guards against callers that are told "unknown" for a request that was never sent.
TEST_CASE("a request that waited until its deadline was not run") {
    request_router router(routing_settings{});
    (void)router.begin(lookup(1), router_start);
    CHECK(finishes(router.tick(router_start + milliseconds(1999))).empty());
    const std::vector<routing_step> steps = router.tick(router_start + milliseconds(2000));
    CHECK(finished(steps) == outcome::not_run);
    CHECK(finishes(steps).front().reason == refusal::no_upstream);
    CHECK_FALSE(router.next_tick().has_value());
}

// Guards against memory that grows without bound while no upstream is ready.
TEST_CASE("the number of waiting requests is bounded") {
    routing_settings settings;
    settings.max_waiting = 2;
    request_router router(settings);
    CHECK(router.begin(lookup(1), router_start).empty());
    CHECK(router.begin(lookup(2), router_start).empty());
    CHECK(finished(router.begin(lookup(3), router_start)) == outcome::not_run);
}

// Guards against a caller that waits past its deadline, and against a lost late answer that is
// delivered as a second one.
TEST_CASE("an attempt without a result ends as unknown at the deadline") {
    request_router router = router_with(1);
    (void)router.begin(lookup(1, false), router_start);
    CHECK(finished(router.tick(router_start + std::chrono::seconds(2))) == outcome::unknown);
    CHECK(router
              .attempt_finished(1, 1, attempt_result::answered, refusal::none,
                                router_start + std::chrono::seconds(3))
              .empty());
}

// Guards against a slow upstream that holds up idempotent requests until the deadline, and against
// two answers for one caller.
TEST_CASE("an idempotent request is hedged once its answer is late") {
    request_router router = router_with(3);
    const vm_name first = sent_vm(router.begin(lookup(1), router_start));
    REQUIRE(router.next_tick() == router_start + milliseconds(100));
    CHECK(router.tick(router_start + milliseconds(99)).empty());
    CHECK(sent_vm(router.tick(router_start + milliseconds(100))) != first);
    const boot_time later = router_start + milliseconds(110);
    const std::vector<routing_step> steps =
        router.attempt_finished(1, 2, attempt_result::answered, refusal::none, later);
    CHECK(finished(steps) == outcome::answered);
    CHECK(finishes(steps).front().attempt == 2);
    CHECK(router.attempt_finished(1, 1, attempt_result::answered, refusal::none, later).empty());
}

// Guards against a reconciliation that runs on two upstreams at the same time.
TEST_CASE("a non-idempotent request is never hedged") {
    request_router router = router_with(3);
    (void)router.begin(lookup(1, false), router_start);
    CHECK(router.next_tick() == router_start + std::chrono::seconds(2));
    CHECK(router.tick(router_start + milliseconds(1900)).empty());
}

// Guards against a failed first attempt that ends a request whose hedge may still answer.
TEST_CASE("a failure leaves the other attempt in progress") {
    request_router router = router_with(3);
    (void)router.begin(lookup(1), router_start);
    (void)router.tick(router_start + milliseconds(100));
    const boot_time later = router_start + milliseconds(110);
    CHECK(router.attempt_finished(1, 1, attempt_result::failed, refusal::none, later).empty());
    CHECK(finished(router.attempt_finished(1, 2, attempt_result::answered, refusal::none, later)) ==
          outcome::answered);
}

// Guards against hedging delays that do not follow the service's own answer times.
TEST_CASE("the hedging delay follows the answer times") {
    request_router router = router_with(3);
    boot_time now = router_start;
    for (std::uint64_t id = 1; id <= 64; ++id) {
        (void)router.begin(lookup(id), now);
        now += milliseconds(10);
        (void)router.attempt_finished(id, 1, attempt_result::answered, refusal::none, now);
    }
    (void)router.begin(lookup(100), now);
    CHECK(router.next_tick() == now + milliseconds(10));
}

// Guards against an upstream that is flooded because its answers are fast.
TEST_CASE("an upstream gets no more than its limit and the rest waits its turn") {
    routing_settings settings;
    settings.max_outstanding = 2;
    request_router router = router_with(2, settings);
    std::map<vm_name, int> sent;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        for (const send_attempt& send : sends(router.begin(lookup(id, false), router_start))) {
            ++sent[send.vm];
        }
    }
    CHECK(sent["vm-0"] == 2);
    CHECK(sent["vm-1"] == 2);
    const std::vector<routing_step> steps =
        router.attempt_finished(1, 1, attempt_result::answered, refusal::none, router_start);
    REQUIRE(sends(steps).size() == 1);
    CHECK(sends(steps).front().request_id == 5);
}

// Guards against a connection that is lost and opened again and so evades the limit.
TEST_CASE("the limit holds over a new registration of the upstream") {
    routing_settings settings;
    settings.max_outstanding = 1;
    request_router router = router_with(1, settings);
    (void)router.begin(lookup(1, false), router_start);
    router.forget_upstream("vm-0");
    router.observe_upstream(ready_upstream("vm-0"), router_start);
    CHECK(router.begin(lookup(2, false), router_start).empty());
    CHECK(sends(router.attempt_finished(1, 1, attempt_result::failed, refusal::none, router_start))
              .size() == 1);
}

// Guards against a retried or repeated result that frees the upstream twice.
TEST_CASE("a repeated result is ignored") {
    request_router router = router_with(1);
    (void)router.begin(lookup(1, false), router_start);
    (void)router.begin(lookup(2, false), router_start);
    (void)router.attempt_finished(1, 1, attempt_result::answered, refusal::none, router_start);
    (void)router.attempt_finished(1, 1, attempt_result::answered, refusal::none, router_start);
    CHECK(router.outstanding("vm-0") == 1);
}

// Guards against an outage that multiplies the load on what is left.
TEST_CASE("retries and hedges of an outage stay within the budget") {
    request_router router = router_with(11);
    std::uint64_t extra = 0;
    constexpr std::uint64_t requests = 2000;
    for (std::uint64_t id = 1; id <= requests; ++id) {
        (void)router.begin(lookup(id), router_start);
        for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
            extra += sends(router.attempt_finished(id, attempt, attempt_result::failed,
                                                   refusal::none, router_start))
                         .size();
        }
    }
    CHECK(extra > 0);
    CHECK(extra <= retry_budget::burst + requests / 10);
}

// Guards against a frozen upstream that keeps its share of the requests because it never fails.
TEST_CASE("an upstream whose attempts reach their deadline is set aside") {
    // Random, because adaptive avoids the frozen upstream by its load long before.
    routing_settings settings;
    settings.policy = routing_policy::random;
    request_router router = router_with(3, settings);
    for (std::uint64_t id = 1; id <= 30; ++id) {
        const vm_name vm = sent_vm(router.begin(lookup(id, false), router_start));
        if (vm != "vm-1") {
            (void)router.attempt_finished(id, 1, attempt_result::answered, refusal::none,
                                          router_start + milliseconds(1));
        }
    }
    REQUIRE(router.outstanding("vm-1") >= 5);
    const boot_time later = router_start + std::chrono::seconds(2);
    (void)router.tick(later);
    CHECK(router.is_ejected("vm-1", later));
    CHECK_FALSE(router.is_ejected("vm-0", later));
}

// Guards against state that is kept for requests that are done.
TEST_CASE("a missing result is given up after a bounded time") {
    request_router router = router_with(1);
    (void)router.begin(lookup(1, false), router_start);
    (void)router.tick(router_start + std::chrono::seconds(2));
    CHECK(router.outstanding("vm-0") == 1);
    (void)router.tick(router_start + std::chrono::seconds(2) +
                      request_router::late_result_lifetime);
    CHECK(router.outstanding("vm-0") == 0);
}

} // namespace
} // namespace egretstile
