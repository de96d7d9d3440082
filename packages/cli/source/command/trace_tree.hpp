#pragma once

#include <cstddef>
#include <istream>
#include <string>

namespace egretstile::cli {

struct trace_tree {
    /// One block per trace, with each span indented below its parent.
    std::string text;
    std::size_t spans{0};
    /// Number of lines that are not OTLP/JSON, for example a truncated last line.
    std::size_t skipped_lines{0};
};

/// Reads OTLP/JSON lines. A span whose parent is not in the input is printed as a root.
/// Thread-safe.
trace_tree read_trace(std::istream& input);

} // namespace egretstile::cli
