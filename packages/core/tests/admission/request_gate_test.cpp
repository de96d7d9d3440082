#include "test_seed.hpp"

#include <egretstile/core/admission/request_gate.hpp>

#include <catch2/catch.hpp>

#include <random>

namespace egretstile {
namespace {

boot_time at(int milliseconds_since_boot) {
    return boot_time(milliseconds(milliseconds_since_boot));
}

request_id id(std::uint64_t number) {
    return {"entry-a", number};
}

request_gate ready_gate(std::size_t slots, std::size_t max_waiting = 8) {
    request_gate gate({max_waiting, milliseconds(60000)});
    gate.set_upstream(upstream_presence::ready, slots, at(0));
    return gate;
}

/// A gate with one slot, in use, and a known answer time of 100 ms.
request_gate busy_gate() {
    request_gate gate = ready_gate(1);
    gate.offer(id(1000), at(5000), at(0));
    gate.finished(id(1000), request_end::answered, at(100));
    gate.offer(id(1001), at(5000), at(100));
    return gate;
}

refusal reason_of(const gate_decision& decision) {
    const auto* const refused = std::get_if<request_refused>(&decision);
    return refused == nullptr ? refusal::none : refused->reason;
}

bool is_admitted(const gate_step& step, const request_id& expected) {
    const auto* const admitted = std::get_if<request_admitted>(&step);
    return admitted != nullptr && admitted->id == expected;
}

bool is_refused(const gate_step& step, const request_id& expected, refusal reason) {
    const auto* const refused = std::get_if<request_refused>(&step);
    return refused != nullptr && refused->id == expected && refused->reason == reason;
}

TEST_CASE("the upstream never gets more requests than it has slots") {
    request_gate gate = ready_gate(2);
    CHECK(std::holds_alternative<request_admitted>(gate.offer(id(1), at(1000), at(0))));
    CHECK(std::holds_alternative<request_admitted>(gate.offer(id(2), at(1000), at(0))));
    CHECK(std::holds_alternative<request_waiting>(gate.offer(id(3), at(1000), at(0))));
    CHECK(gate.slots_in_use() == 2);
    const std::vector<gate_step> steps = gate.finished(id(1), request_end::answered, at(10));
    REQUIRE(steps.size() == 1);
    CHECK(is_admitted(steps[0], id(3)));
    CHECK(gate.slots_in_use() == 2);
}

TEST_CASE("the end of a request that holds no slot frees none") {
    request_gate gate = ready_gate(1);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(1000), at(0));
    CHECK(gate.finished(id(2), request_end::answered, at(1)).empty());
    CHECK(gate.finished(id(9), request_end::answered, at(1)).empty());
    CHECK(gate.slots_in_use() == 1);
    CHECK(gate.finished(id(1), request_end::failed, at(2)).size() == 1);
    CHECK(gate.finished(id(1), request_end::failed, at(3)).empty());
    CHECK(gate.slots_in_use() == 1);
}

TEST_CASE("a full queue refuses instead of growing") {
    request_gate gate = ready_gate(1, 2);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(1000), at(0));
    gate.offer(id(3), at(1000), at(0));
    CHECK(reason_of(gate.offer(id(4), at(1000), at(0))) == refusal::no_capacity);
    CHECK(gate.waiting() == 2);
}

TEST_CASE("an urgent request does not wait behind one with a later deadline") {
    request_gate gate = ready_gate(1);
    gate.offer(id(1), at(9000), at(0));
    gate.offer(id(2), at(3000), at(0));
    gate.offer(id(3), at(1000), at(0));
    gate.offer(id(4), at(3000), at(0));
    CHECK(is_admitted(gate.finished(id(1), request_end::failed, at(1)).at(0), id(3)));
    CHECK(is_admitted(gate.finished(id(3), request_end::failed, at(2)).at(0), id(2)));
    CHECK(is_admitted(gate.finished(id(2), request_end::failed, at(3)).at(0), id(4)));
}

TEST_CASE("a request that would get its slot too late is refused at once") {
    request_gate gate = busy_gate();
    CHECK(reason_of(gate.offer(id(1), at(150), at(100))) == refusal::deadline);
    CHECK(std::holds_alternative<request_waiting>(gate.offer(id(2), at(250), at(100))));
    // One with a later deadline waits for two answers.
    CHECK(reason_of(gate.offer(id(3), at(290), at(100))) == refusal::deadline);
    CHECK(std::holds_alternative<request_waiting>(gate.offer(id(4), at(310), at(100))));
    CHECK(reason_of(gate.offer(id(5), at(100), at(100))) == refusal::deadline);
}

TEST_CASE("failed requests do not shorten the estimate of the answer time") {
    request_gate gate = busy_gate();
    gate.finished(id(1001), request_end::failed, at(101));
    CHECK(gate.answer_time() == milliseconds(100));
}

TEST_CASE("the estimate follows a change of the answer time") {
    request_gate gate = ready_gate(1);
    int now = 0;
    for (std::uint64_t i = 0; i < 60; ++i) {
        const int duration = i < 10 ? 10 : 200;
        gate.offer(id(i), at(now + 1000), at(now));
        now += duration;
        gate.finished(id(i), request_end::answered, at(now));
    }
    CHECK(gate.answer_time() > milliseconds(190));
    CHECK(gate.answer_time() <= milliseconds(200));
}

TEST_CASE("a waiting request whose deadline passes is refused, not sent") {
    request_gate gate = ready_gate(1);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(500), at(0));
    CHECK(gate.next_tick() == at(500));
    CHECK(gate.tick(at(499)).empty());
    const std::vector<gate_step> steps = gate.tick(at(500));
    REQUIRE(steps.size() == 1);
    CHECK(is_refused(steps[0], id(2), refusal::deadline));
    CHECK_FALSE(gate.next_tick().has_value());
    gate.offer(id(3), at(700), at(500));
    CHECK(is_refused(gate.finished(id(1), request_end::answered, at(800)).at(0), id(3),
                     refusal::deadline));
    CHECK(gate.slots_in_use() == 0);
}

TEST_CASE("nothing is sent to an absent or leaving upstream") {
    request_gate gate({8, milliseconds(60000)});
    CHECK(reason_of(gate.offer(id(1), at(1000), at(0))) == refusal::no_upstream);
    gate.set_upstream(upstream_presence::ready, 1, at(0));
    gate.offer(id(2), at(1000), at(0));
    gate.offer(id(3), at(1000), at(0));
    const std::vector<gate_step> steps = gate.set_upstream(upstream_presence::leaving, 1, at(1));
    REQUIRE(steps.size() == 1);
    CHECK(is_refused(steps[0], id(3), refusal::draining));
    CHECK(reason_of(gate.offer(id(4), at(1000), at(1))) == refusal::draining);
    CHECK(gate.slots_in_use() == 1);
    CHECK(gate.finished(id(2), request_end::answered, at(2)).empty());
}

TEST_CASE("fewer slots take effect without interrupting requests; more serve waiting ones") {
    request_gate gate = ready_gate(2);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(1000), at(0));
    gate.offer(id(3), at(1000), at(0));
    CHECK(gate.set_upstream(upstream_presence::ready, 1, at(1)).empty());
    CHECK(gate.finished(id(1), request_end::answered, at(2)).empty());
    CHECK(is_admitted(gate.set_upstream(upstream_presence::ready, 2, at(3)).at(0), id(3)));
}

TEST_CASE("an upstream without slots gets no request and none waits for it") {
    request_gate gate({8, milliseconds(1000)});
    gate.set_upstream(upstream_presence::ready, 0, at(0));
    CHECK(reason_of(gate.offer(id(1), at(9000), at(0))) == refusal::deadline);
}

TEST_CASE("a duplicate is not run and not answered as a refusal") {
    request_gate gate = ready_gate(1);
    gate.offer(id(1), at(1000), at(0));
    CHECK(std::holds_alternative<request_duplicate>(gate.offer(id(1), at(1000), at(1))));
    gate.finished(id(1), request_end::answered, at(2));
    CHECK(std::holds_alternative<request_duplicate>(gate.offer(id(1), at(3000), at(1000))));
    // The same number from another entry is another request.
    CHECK(std::holds_alternative<request_admitted>(gate.offer({"entry-b", 1}, at(3000), at(1000))));
}

TEST_CASE("a duplicate of a refused or cancelled request does not run") {
    request_gate gate = ready_gate(1, 1);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(1000), at(0));
    CHECK(reason_of(gate.offer(id(3), at(1000), at(0))) == refusal::no_capacity);
    gate.cancel(id(2));
    gate.finished(id(1), request_end::answered, at(1));
    CHECK(std::holds_alternative<request_duplicate>(gate.offer(id(2), at(1000), at(2))));
    CHECK(std::holds_alternative<request_duplicate>(gate.offer(id(3), at(1000), at(2))));
}

TEST_CASE("a request that outlives its deadline in the upstream is still recognised") {
    request_gate gate = ready_gate(2);
    gate.offer(id(1), at(100), at(0));
    gate.tick(at(500));
    CHECK(std::holds_alternative<request_duplicate>(gate.offer(id(1), at(2000), at(500))));
    CHECK(gate.slots_in_use() == 1);
}

TEST_CASE("ids are forgotten after their deadline, also when the deadline is absurd") {
    request_gate gate = ready_gate(1);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const int now = static_cast<int>(i) * 1000;
        gate.offer(id(i), i % 2 == 0 ? at(now + 500) : boot_time::max(), at(now));
        gate.finished(id(i), request_end::answered, at(now + 1));
    }
    CHECK(gate.remembered() <= 32);
    gate.tick(at(2000000));
    CHECK(gate.remembered() == 0);
}

TEST_CASE("a cancelled request never reaches the upstream") {
    request_gate gate = ready_gate(1);
    gate.offer(id(1), at(1000), at(0));
    gate.offer(id(2), at(1000), at(0));
    CHECK(gate.cancel(id(2)) == cancel_result::cancelled);
    CHECK(gate.cancel(id(2)) == cancel_result::unknown);
    CHECK(gate.cancel(id(1)) == cancel_result::in_upstream);
    CHECK(gate.finished(id(1), request_end::answered, at(1)).empty());
    CHECK(gate.slots_in_use() == 0);
}

/// Follows the fate of each request through random calls.
class gate_run {
public:
    explicit gate_run(std::uint64_t seed)
        : random_(seed) {}

    void step() {
        now_ += milliseconds(random_() % 20);
        switch (random_() % 8) {
        case 0:
        case 1:
        case 2:
            offer();
            break;
        case 3:
        case 4:
            finish();
            break;
        case 5:
            cancel();
            break;
        case 6:
            take(gate_.tick(now_));
            break;
        default:
            change_upstream();
            break;
        }
        REQUIRE(gate_.slots_in_use() == in_upstream_.size());
        REQUIRE(gate_.waiting() == waiting_.size());
        REQUIRE(gate_.waiting() <= max_waiting);
    }

    std::size_t served() const { return served_; }

private:
    static constexpr std::size_t max_waiting = 4;

    void offer() {
        const request_id request = id(random_() % 4 == 0 ? random_() % (next_ + 1) : next_);
        next_ += request.number == next_ ? 1 : 0;
        const gate_decision decision =
            gate_.offer(request, now_ + milliseconds(random_() % 200), now_);
        if (std::holds_alternative<request_admitted>(decision)) {
            admit(request);
        } else if (std::holds_alternative<request_waiting>(decision)) {
            REQUIRE(in_upstream_.size() >= gate_.slots());
            REQUIRE(waiting_.insert(request).second);
        }
    }

    void admit(const request_id& request) {
        REQUIRE(in_upstream_.insert(request).second);
        REQUIRE(in_upstream_.size() <= gate_.slots());
        REQUIRE(gate_.presence() == upstream_presence::ready);
        ++served_;
    }

    void take(const std::vector<gate_step>& steps) {
        for (const gate_step& step : steps) {
            if (const auto* const admitted = std::get_if<request_admitted>(&step)) {
                REQUIRE(waiting_.erase(admitted->id) == 1);
                admit(admitted->id);
            } else {
                REQUIRE(waiting_.erase(std::get<request_refused>(step).id) == 1);
            }
        }
    }

    void finish() {
        if (in_upstream_.empty()) {
            return;
        }
        const request_id request = *in_upstream_.begin();
        in_upstream_.erase(in_upstream_.begin());
        take(gate_.finished(request, request_end::answered, now_));
    }

    void cancel() {
        if (!waiting_.empty()) {
            REQUIRE(gate_.cancel(*waiting_.begin()) == cancel_result::cancelled);
            waiting_.erase(waiting_.begin());
        }
    }

    void change_upstream() {
        const auto presence = random_() % 6 == 0 ? static_cast<upstream_presence>(random_() % 2 * 2)
                                                 : upstream_presence::ready;
        take(gate_.set_upstream(presence, random_() % 4, now_));
    }

    std::mt19937_64 random_;
    request_gate gate_{{max_waiting, milliseconds(1000)}};
    boot_time now_{};
    std::uint64_t next_{0};
    std::size_t served_{0};
    std::set<request_id> in_upstream_;
    std::set<request_id> waiting_;
};

TEST_CASE("no request is lost, sent twice or sent over the limit in random traffic") {
    gate_run run(testing::test_seed());
    for (int i = 0; i < 20000; ++i) {
        run.step();
    }
    CHECK(run.served() > 1000);
}

} // namespace
} // namespace egretstile
