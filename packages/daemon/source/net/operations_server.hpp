#pragma once

#include "settings/job_settings.hpp"

#include <egretstile/runtime/http/http_server.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

struct operations_page {
    /// HTTP status.
    int status{200};
    std::string text;
};

/// A page by its path; nothing when there is no such page.
using operations_pages = std::function<std::optional<operations_page>(const std::string& path)>;

/// Path of the metrics in Prometheus's text format; other pages are JSON.
inline constexpr const char* metrics_path = "/metrics";

/// Serves pages for operators and their monitoring on the metrics port of the settings; null when
/// the settings name none. A port that cannot be bound is logged: a process works without. For the
/// event loop's thread only.
std::unique_ptr<http_server> serve_operations(event_loop& loop, const job_common_settings& settings,
                                              operations_pages pages);

} // namespace egretstile::daemon
