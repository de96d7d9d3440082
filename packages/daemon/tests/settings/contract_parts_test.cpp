#include "settings/contract_parts.hpp"

#include <catch2/catch.hpp>

namespace egretstile::daemon {
namespace {

// Guards against a part that takes effect where the contract does not name it, and against one that
// has no effect because other names or spaces surround it.
TEST_CASE("a part is in force when the list names it") {
    CHECK(is_part_in_force("health", health_part));
    CHECK(is_part_in_force("a_b,health,other", health_part));
    CHECK(is_part_in_force("other, health ", health_part));
    CHECK_FALSE(is_part_in_force("", health_part));
    CHECK_FALSE(is_part_in_force("healthy,unhealth", health_part));
    CHECK_FALSE(is_part_in_force(",", health_part));
    CHECK_FALSE(is_part_in_force("he,alth", health_part));
}

} // namespace
} // namespace egretstile::daemon
