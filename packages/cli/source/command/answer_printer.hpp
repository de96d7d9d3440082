#pragma once

#include "command/exit_code.hpp"
#include "command/http_client.hpp"

#include <egretstile/sheet/report/sheet_report.hpp>

#include <string>

namespace egretstile::cli {

/// The report as lines for people. Thread-safe.
std::string describe(const sheet_report& report);

/// A JSON text as indented `name: value` lines, an array of objects as one block for each; the text
/// itself when it is not JSON. Thread-safe.
std::string describe_json(const std::string& json);

/// Exit code of a response: by the member `outcome` of its JSON body, else by the header
/// `Egretstile-Outcome`, else by the status. `is_read` tells that the call changes nothing.
/// Thread-safe.
exit_code code_of(const http_response& response, bool is_read);

} // namespace egretstile::cli
