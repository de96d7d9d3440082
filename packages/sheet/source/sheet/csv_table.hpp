#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretstile {

struct csv_row {
    /// Counted from 1, blank rows included.
    std::size_t number{0};
    std::vector<std::string> cells;
};

/// Rows of a CSV text that have at least one cell with content.
struct csv_table {
    std::vector<csv_row> rows;
    /// Row in which the text stops being CSV: a quote that is not closed or not doubled. The rows
    /// before it are in `rows`.
    std::optional<std::size_t> broken_row;
};

/// Splits the text. Takes commas or semicolons, whichever is more frequent in the first rows, line
/// ends of any system, and a byte-order mark. White space around cells is dropped. Thread-safe.
csv_table parse_csv(std::string_view text);

} // namespace egretstile
