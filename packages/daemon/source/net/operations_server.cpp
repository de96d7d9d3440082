#include "net/operations_server.hpp"

#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>

#include <utility>

namespace egretstile::daemon {

namespace {

http_response respond_to(const http_request& request, const operations_pages& pages) {
    const operations_page missing{404, "{\"error\":\"not found\"}"};
    const operations_page page =
        request.method == "GET" ? pages(request.path).value_or(missing) : missing;
    http_response response;
    response.status = page.status;
    response.headers["Content-Type"] =
        request.path == metrics_path ? "text/plain; version=0.0.4" : "application/json";
    response.body = page.text;
    return response;
}

} // namespace

std::unique_ptr<http_server> serve_operations(event_loop& loop, const job_common_settings& settings,
                                              http_limits& limits, operations_pages pages) {
    if (settings.metrics_port == 0) {
        return nullptr;
    }
    try {
        return std::make_unique<http_server>(
            loop, endpoint{settings.host, settings.metrics_port},
            limits.limits_for(http_address::operations),
            [pages = std::move(pages)](http_request&& request,
                                       const http_server::responder& respond) {
                respond(respond_to(request, pages));
            },
            http_server::head_check{}, limits.observer_for(http_address::operations));
    } catch (const Poco::Exception& error) {
        write_log(log_part::process, log_level::warning,
                  "Cannot bind the metrics port; metrics are not served.",
                  "port=" + std::to_string(settings.metrics_port) + " reason=\"" +
                      error.displayText() + "\"");
        return nullptr;
    }
}

} // namespace egretstile::daemon
