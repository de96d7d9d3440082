#pragma once

#include "command/exit_code.hpp"
#include "command/http_client.hpp"

#include <egretstile/sheet/report/sheet_report.hpp>

#include <string>

namespace egretstile::cli {

/// Formats the report as human-readable lines. Thread-safe.
std::string describe(const sheet_report& report);

/// Formats a JSON text as indented `name: value` lines, with one block per element of an array of
/// objects. Returns the text unchanged when it is not JSON. Thread-safe.
std::string describe_json(const std::string& json);

/// Exit code of a response, from the member `outcome` of its JSON body, else from the header
/// `Egretstile-Outcome`, else from the status. `read_only` states that the call changes nothing.
/// Thread-safe.
exit_code exit_code_of(const http_response& response, bool read_only);

} // namespace egretstile::cli
