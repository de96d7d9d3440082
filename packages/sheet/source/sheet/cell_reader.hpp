#pragma once

#include "sheet/csv_table.hpp"
#include "sheet/sheet_column.hpp"

#include <egretstile/sheet/sheet/sheet_reader.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretstile {

/// Index of each column's cell in a row.
using column_positions = std::map<sheet_column, std::size_t>;

/// Converts the cells of one row to typed values. A cell that is not valid adds an error to
/// `errors` and reads as a placeholder. The constructor's arguments must outlive the reader. Not
/// thread-safe.
class cell_reader {
public:
    cell_reader(const csv_row& row, const column_positions& positions,
                std::vector<sheet_error>& errors)
        : row_(row)
        , positions_(positions)
        , errors_(errors) {}

    const std::string& text(sheet_column column) const;

    bool is_empty(sheet_column column) const { return text(column).empty(); }

    /// Name with only those characters that are safe in a task key and in a URL.
    std::string name(sheet_column column);
    /// Number with at most three decimals, returned in thousandths. `max_value` is in whole units.
    std::int64_t thousandths(sheet_column column, std::int64_t max_value, bool zero_allowed);
    std::int64_t whole_number(sheet_column column, std::int64_t min_value, std::int64_t max_value);
    bool yes_or_no(sheet_column column);
    /// Time HH:MM as minutes after midnight.
    std::uint32_t minute_of_day(sheet_column column);
    std::string time_zone(sheet_column column);
    /// Adds an error when the cell is not empty. `reason` is the part of its message that says why
    /// the cell must be empty.
    void require_empty(sheet_column column, const std::string& reason);

    template <typename Enum, std::size_t Size>
    std::optional<Enum> one_of(sheet_column column,
                               const std::array<enum_name<Enum>, Size>& table) {
        const std::optional<Enum> value = value_of(table, lower_case(text(column)));
        if (!value) {
            std::string list;
            for (const enum_name<Enum>& row : table) {
                list += (list.empty() ? "" : ", ") + std::string(row.name);
            }
            add_error(column, "must be one of " + list);
        }
        return value;
    }

    void add_error(sheet_column column, const std::string& message);

    static std::string lower_case(std::string_view text);

private:
    void add_number_error(sheet_column column, const std::string& allowed);

    const csv_row& row_;
    const column_positions& positions_;
    std::vector<sheet_error>& errors_;
};

} // namespace egretstile
