#pragma once

#include "command/exit_code.hpp"
#include "command/http_client.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace egretstile::cli {

/// Runs the command line `arguments`, which excludes the program's name. Writes results to `output`
/// and error messages to `errors`. Not thread-safe.
exit_code run(const std::vector<std::string>& arguments, http_client& client, std::ostream& output,
              std::ostream& errors);

} // namespace egretstile::cli
