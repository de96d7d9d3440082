#pragma once

#include <string_view>

namespace egretstile::daemon {

/// Part of the service contract that tracks the health of runners; see `contract_parts` of
/// `job_entry_settings`.
inline constexpr std::string_view health_part = "health";

/// Whether `parts`, names separated by commas, contains `part`. Spaces around a name do not count.
/// Thread-safe.
bool is_part_in_force(std::string_view parts, std::string_view part);

} // namespace egretstile::daemon
