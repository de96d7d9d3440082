#include "jobs/leader_election.hpp"

#include <catch2/catch.hpp>

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

} // namespace
} // namespace egretstile::daemon
