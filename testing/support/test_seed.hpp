#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace egretstile::testing {

/// Seed of the randomised tests: `EGRETSTILE_TEST_SEED` when set, else a fixed value, so that every
/// run without the variable gives the same verdict. Thread-safe while the environment is unchanged.
inline std::uint64_t test_seed() {
    constexpr std::uint64_t default_seed = 20260401;
    const char* const text = std::getenv("EGRETSTILE_TEST_SEED");
    return text == nullptr ? default_seed : std::stoull(text);
}

} // namespace egretstile::testing
