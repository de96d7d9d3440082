#pragma once

#include <cstddef>

namespace egretstile::testing {

/// Counts what the program allocates with `operator new` while an object of this class lives.
/// Memory that libraries take from `malloc` itself is not counted. Only one object at a time, on
/// the only thread that allocates.
class allocation_peak {
public:
    allocation_peak();

    /// Largest number of bytes in use at a time beyond those at the construction.
    std::size_t bytes() const;

private:
    std::size_t at_start_;
};

} // namespace egretstile::testing
