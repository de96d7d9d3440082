#include <egretstile/core/placement/least_reserved_placement.hpp>
#include <egretstile/core/placement/make_placement_strategy.hpp>
#include <egretstile/core/placement/random_placement.hpp>

namespace egretstile {

std::unique_ptr<placement_strategy>
make_placement_strategy(placement_policy policy, std::uint64_t seed,
                        const interference_model& model,
                        const interference_placement_settings& settings) {
    switch (policy) {
    case placement_policy::random:
        return std::make_unique<random_placement>(seed);
    case placement_policy::least_reserved:
        return std::make_unique<least_reserved_placement>(seed);
    case placement_policy::interference_aware:
        break;
    }
    return std::make_unique<interference_aware_placement>(seed, model, settings);
}

} // namespace egretstile
