#include "telemetry/metrics_server.hpp"

#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Scrapers keep one connection each.
constexpr std::size_t max_scrapers = 8;

http_response respond_to(const http_request& request, const std::function<std::string()>& text) {
    http_response response;
    if (request.path != "/metrics") {
        response.status = 404;
        return response;
    }
    response.status = 200;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = text();
    return response;
}

} // namespace

std::unique_ptr<http_server> serve_metrics(event_loop& loop, const job_common_settings& settings,
                                           std::function<std::string()> text) {
    if (settings.metrics_port == 0) {
        return nullptr;
    }
    http_server::limits limits;
    limits.max_connections = max_scrapers;
    try {
        return std::make_unique<http_server>(
            loop, endpoint{settings.host, settings.metrics_port}, limits,
            [text = std::move(text)](http_request&& request,
                                     const http_server::responder& respond) {
                respond(respond_to(request, text));
            });
    } catch (const Poco::Exception& error) {
        write_log(log_part::process, log_level::warning, "Serves no metrics.",
                  "port=" + std::to_string(settings.metrics_port) + " reason=\"" +
                      error.displayText() + "\"");
        return nullptr;
    }
}

} // namespace egretstile::daemon
