#pragma once

#include <string_view>

namespace egretstile::daemon {

/// Name in `contract_parts` of the part that covers the health of runners and the room of filling
/// tasks.
inline constexpr std::string_view health_part = "health";

/// Whether `parts`, names separated by commas, contains `name`. Spaces around a name are ignored;
/// the empty name is not contained. Thread-safe.
bool has_contract_part(std::string_view parts, std::string_view name);

} // namespace egretstile::daemon
