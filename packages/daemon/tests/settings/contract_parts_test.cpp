#include "settings/contract_parts.hpp"

#include <catch2/catch.hpp>

namespace egretstile::daemon {
namespace {

// Guards against a part of the contract that takes effect where the configuration does not name it,
// because another name contains the part's, and against one that has no effect because other names
// or spaces surround it.
TEST_CASE("a contract part is in force only when it is one of the names in the list") {
    CHECK(has_contract_part("health", health_part));
    CHECK(has_contract_part("locality,health", health_part));
    CHECK(has_contract_part("a_b,health,other", health_part));
    CHECK(has_contract_part("health , locality", health_part));
    CHECK(has_contract_part("other, health ", health_part));
    CHECK_FALSE(has_contract_part("", health_part));
    CHECK_FALSE(has_contract_part("unhealthy,health_check", health_part));
    CHECK_FALSE(has_contract_part("healthy,unhealth", health_part));
    CHECK_FALSE(has_contract_part(",", health_part));
    CHECK_FALSE(has_contract_part("he,alth", health_part));
    CHECK_FALSE(has_contract_part("health,,locality", ""));
}

} // namespace
} // namespace egretstile::daemon
