#pragma once

#include "test_seed.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>
#include <string>

namespace egretstile::testing {

/// Checks a property with `rounds` inputs that follow from `test_seed`.
template <typename Property>
void check_fuzzed(const Property& property, int rounds) {
    rc::detail::TestParams params;
    params.seed = test_seed();
    params.maxSuccess = rounds;
    // The inputs are large and shrink slowly.
    params.disableShrinking = true;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    // The input itself may have hundreds of kilobytes.
    INFO("EGRETSTILE_TEST_SEED=" << test_seed() << "\n" << message.str().substr(0, 2000));
    CHECK(result.template is<rc::detail::SuccessResult>());
}

/// `text`, in one of three cases with one to four bytes replaced by any others.
inline std::string damaged(std::string text) {
    const bool damage = *rc::gen::element(true, false, false);
    const int changes = damage ? *rc::gen::inRange(1, 5) : 0;
    for (int change = 0; change < changes && !text.empty(); ++change) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    return text;
}

} // namespace egretstile::testing
