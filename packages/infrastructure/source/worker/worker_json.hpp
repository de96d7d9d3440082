#pragma once

#include <egretstile/core/admission/worker_types.hpp>

#include <optional>
#include <string>
#include <vector>

namespace egretstile::infrastructure {

/// JSON bodies of the calls to the worker. All functions here are thread-safe.
std::string start_to_json(const worker_start& start);
std::string renewals_to_json(const std::vector<worker_renewal>& renewals);
std::string lease_to_json(boot_time lease_until);

/// std::nullopt when `text` is not a complete, well-formed status.
std::optional<worker_status> status_from_json(const std::string& text);

/// std::nullopt when `text` is not a JSON object with a string field "checkpoint".
std::optional<std::string> checkpoint_from_json(const std::string& text);

} // namespace egretstile::infrastructure
