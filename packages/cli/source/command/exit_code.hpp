#pragma once

#include <cstdint>

namespace egretstile::cli {

/// Exit codes of `egretstile`; scripts depend on them.
enum class exit_code : std::uint8_t {
    done = 0,          ///< What was asked for is the case.
    refused = 1,       ///< Refused, or the file or answer has faults; nothing was changed.
    usage = 2,         ///< The command line is wrong.
    not_reachable = 3, ///< No connection or no answer to a read; nothing was changed.
    unknown = 4        ///< The change may or may not have been made; repeat the command.
};

} // namespace egretstile::cli
