#pragma once

#include <chrono>
#include <functional>

namespace egretstile::harness {

/// Checks `condition` every 5 ms until it holds or `timeout` has passed. Returns whether it held.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

} // namespace egretstile::harness
