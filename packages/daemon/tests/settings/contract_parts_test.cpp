#include "settings/contract_parts.hpp"

#include <catch2/catch.hpp>

namespace egretstile::daemon {
namespace {

// Guards against a deployment that gets a part of the contract that its configuration does not
// name, because another name contains the part's.
TEST_CASE("a contract part is in force only when it is one of the names in the list") {
    CHECK(has_contract_part("health", "health"));
    CHECK(has_contract_part("locality,health", "health"));
    CHECK(has_contract_part("health , locality", "health"));
    CHECK_FALSE(has_contract_part("", "health"));
    CHECK_FALSE(has_contract_part("unhealthy,health_check", "health"));
    CHECK_FALSE(has_contract_part("health,,locality", ""));
}

} // namespace
} // namespace egretstile::daemon
