#pragma once

#include <cstdint>

namespace egretstile::cli {

/// Exit codes of `egretstile`. Scripts depend on these values.
enum class exit_code : std::uint8_t {
    done = 0,          ///< The command succeeded, or the requested state already existed.
    refused = 1,       ///< Refused, or the file or response has errors; nothing was changed.
    usage = 2,         ///< The command line is invalid, or a file cannot be read.
    not_reachable = 3, ///< No connection, or no response to a read; nothing was changed.
    unknown = 4        ///< The change may or may not have been made; repeat the command.
};

} // namespace egretstile::cli
