#pragma once

#include <chrono>
#include <functional>

namespace egretstile::harness {

/// Checks `condition` every few milliseconds until it holds or `timeout` has passed; whether it
/// held.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

} // namespace egretstile::harness
