#pragma once

#include "load_report.hpp"
#include "load_settings.hpp"

namespace egretstile::load {

/// Sends requests to `POST /v1/requests/SERVICE` and verifies that each answer is the one that the
/// upstream stand-in derives from this request's body. Returns when each request has an answer or
/// has timed out.
void run_requests(const load_settings& settings, load_report& report);

} // namespace egretstile::load
