#pragma once

#include <egretstile/core/interference/interference_model.hpp>
#include <egretstile/core/placement/interference_aware_placement.hpp>
#include <egretstile/core/placement/placement_strategy.hpp>

#include <cstdint>
#include <memory>

namespace egretstile {

/// Creates the strategy for `policy`, with random choices seeded by `seed`. `model` must outlive
/// the result. Thread-safe.
std::unique_ptr<placement_strategy>
make_placement_strategy(placement_policy policy, std::uint64_t seed,
                        const interference_model& model,
                        const interference_placement_settings& settings = {});

} // namespace egretstile
