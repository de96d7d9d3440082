#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretstile {

struct csv_row {
    /// Row number in the text, counted from 1 and including blank rows.
    std::size_t number{0};
    std::vector<std::string> cells;
};

/// The rows of a CSV text that have at least one cell that is not empty.
struct csv_table {
    std::vector<csv_row> rows;
    /// Number of the row at which parsing stopped because a quote is not closed, or not doubled
    /// inside a quoted cell. `rows` has the rows before it. Empty when the whole text is valid CSV.
    std::optional<std::size_t> malformed_row;
};

/// Parses a CSV text. The separator is the comma or the semicolon, whichever is more frequent in
/// the first two rows that are not empty. Accepts LF, CR and CR LF as line ends, and a leading
/// byte-order mark. Removes white space around the content of cells. Thread-safe.
csv_table parse_csv(std::string_view text);

} // namespace egretstile
