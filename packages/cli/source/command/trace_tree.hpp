#pragma once

#include <cstddef>
#include <istream>
#include <string>

namespace egretstile::cli {

struct trace_tree {
    /// One block for each trace, each span indented below its parent.
    std::string text;
    std::size_t spans{0};
    /// Lines that are not OTLP/JSON, for example a last line that was cut off.
    std::size_t skipped_lines{0};
};

/// Reads OTLP/JSON lines. A span whose parent is not in the input stands at the top. Thread-safe.
trace_tree read_trace(std::istream& input);

} // namespace egretstile::cli
