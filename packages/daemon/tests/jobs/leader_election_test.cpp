#include "jobs/leader_election.hpp"
#include "jobs/model_store.hpp"
#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace egretstile::daemon {
namespace {

// Guards against an entry with a fifteenth of a core that leads while others have half a core.
TEST_CASE("entries with more processor time claim a vacancy first") {
    const milliseconds strong = election_settings_for(0.5).claim_delay;
    const milliseconds weak = election_settings_for(0.12).claim_delay;
    // The claim of the strong entry takes two calls of a few milliseconds.
    CHECK(weak - strong >= milliseconds(100));
}

// Guards against a long time without a leader where all entries are small.
TEST_CASE("the smallest entry claims a vacancy well within the lease") {
    const election_settings settings = election_settings_for(0.001);
    CHECK(settings.claim_delay <= settings.lease / 4);
}

/// One entry whose election runs on a store in memory.
class candidate {
public:
    explicit candidate(const std::string& name)
        : election(loop, store, control, election_settings(), name, endpoint{"127.0.0.1", 1},
                   {[this](const leadership& won) { elected = won; }, [] {}, [](boot_time) {}}) {}

    void run_for(milliseconds length) {
        control.start();
        loop.call_at(boot_now() + length, [this] { loop.stop(); });
        loop.run();
    }

    /// How long earlier leaders may still give permissions, in milliseconds.
    std::int64_t remaining_ms() const {
        return std::chrono::duration_cast<milliseconds>(elected->earlier_until - boot_now())
            .count();
    }

    event_loop loop;
    model_store store{loop};
    std::optional<leadership> elected;
    control_view control{loop, store, milliseconds(100), [this] { election.control_changed(); }};
    leader_election election;
};

// Guards against a rolling replacement after which the tasks of a VM that has left wait as long as
// after a leader of which nothing is known.
TEST_CASE("after a leader that has resigned in settled times no earlier permission is awaited") {
    candidate next("entry-2");
    next.store.put(store_keys::epoch, "3");
    next.store.put(store_keys::settled, "3");
    next.store.put(store_keys::released, "3");
    next.run_for(milliseconds(300));
    REQUIRE(next.elected.has_value());
    CHECK(next.elected->epoch == 4);
    CHECK(next.remaining_ms() <= 0);
    CHECK(next.store.value_of(store_keys::settled) == "4");
}

// Guards against two runs of a task: the leader before the one that resigned may be cut off from
// the store and still give permissions.
TEST_CASE("a leader that resigned soon after its election does not vouch for those before it") {
    candidate next("entry-2");
    next.store.put(store_keys::epoch, "3");
    next.store.put(store_keys::settled, "1");
    next.store.put(store_keys::released, "3");
    next.run_for(milliseconds(300));
    REQUIRE(next.elected.has_value());
    CHECK(next.remaining_ms() > 9000);
}

// Guards against the same after a leader that was killed and started again.
TEST_CASE("a leader that replaces itself awaits those before it unless times were settled") {
    candidate again("entry-1");
    again.store.put(store_keys::epoch, "3");
    again.store.put(store_keys::leader, encode_leader({3, endpoint{"127.0.0.1", 1}, "entry-1"}));
    again.store.put(store_keys::settled, "2");
    again.run_for(milliseconds(300));
    REQUIRE(again.elected.has_value());
    CHECK(again.elected->epoch == 4);
    CHECK(again.remaining_ms() > 9000);
    candidate settled("entry-1");
    settled.store.put(store_keys::epoch, "3");
    settled.store.put(store_keys::leader, encode_leader({3, endpoint{"127.0.0.1", 1}, "entry-1"}));
    settled.store.put(store_keys::settled, "3");
    settled.run_for(milliseconds(300));
    REQUIRE(settled.elected.has_value());
    CHECK(settled.remaining_ms() <= 0);
}

// Guards against a resignation that leaves the vacancy to the end of the lease.
TEST_CASE("a leader that resigns says so and leaves at once") {
    candidate leader("entry-1");
    leader.loop.call_at(boot_now() + milliseconds(300), [&leader] { leader.election.resign(); });
    leader.run_for(milliseconds(400));
    REQUIRE(leader.elected.has_value());
    CHECK(leader.store.value_of(store_keys::released) == "1");
    CHECK(leader.store.value_of(store_keys::settled) == "1");
    CHECK(leader.store.value_of(store_keys::leader).empty());
}

} // namespace
} // namespace egretstile::daemon
