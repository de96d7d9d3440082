#pragma once

#include "settings/job_settings.hpp"

#include <egretstile/runtime/http/http_server.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egretstile::daemon {

/// Serves `GET /metrics` on the metrics port of the settings; null when the settings name none. A
/// port that cannot be bound is logged: a process works without its metrics. For the event loop's
/// thread only.
std::unique_ptr<http_server> serve_metrics(event_loop& loop, const job_common_settings& settings,
                                           std::function<std::string()> text);

} // namespace egretstile::daemon
