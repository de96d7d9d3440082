#pragma once

#include "net/http_limits.hpp"
#include "settings/job_settings.hpp"

#include <egretstile/runtime/http/http_server.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

struct operations_page {
    /// HTTP status code.
    int status{200};
    std::string text;
};

/// Returns the page at a path; nothing when there is none.
using operations_pages = std::function<std::optional<operations_page>(const std::string& path)>;

/// Path of the metrics in the Prometheus text format; all other pages are JSON.
inline constexpr const char* metrics_path = "/metrics";

/// Serves pages for operators and monitoring on the metrics port of the settings. Null when the
/// settings name no port, or when it cannot be bound: that is only logged, because a process works
/// without these pages. For the event loop's thread only.
std::unique_ptr<http_server> serve_operations(event_loop& loop, const job_common_settings& settings,
                                              http_limits& limits, operations_pages pages);

} // namespace egretstile::daemon
