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

/// Position of each column in the rows.
using column_positions = std::map<sheet_column, std::size_t>;

/// Reads the typed cells of one row and adds a fault to `errors` for each that cannot be read; the
/// value is then the type's default. Not thread-safe.
class cell_reader {
public:
    cell_reader(const csv_row& row, const column_positions& positions,
                std::vector<sheet_error>& errors)
        : row_(row)
        , positions_(positions)
        , errors_(errors) {}

    const std::string& text(sheet_column column) const;

    bool is_empty(sheet_column column) const { return text(column).empty(); }

    /// A name that is safe as part of a task key and of a URL.
    std::string name(sheet_column column);
    /// Number with at most three decimals, in thousandths; `high` is in whole units.
    std::int64_t thousandths(sheet_column column, std::int64_t high, bool zero_allowed);
    std::int64_t whole(sheet_column column, std::int64_t low, std::int64_t high);
    bool yes_or_no(sheet_column column);
    /// Minutes after midnight of a time HH:MM.
    std::uint32_t minute_of_day(sheet_column column);
    std::string time_zone(sheet_column column);
    /// Adds a fault when the cell holds anything; `reason` tells why it must not.
    void must_be_empty(sheet_column column, const std::string& reason);

    template <typename Enum, std::size_t Size>
    std::optional<Enum> one_of(sheet_column column,
                               const std::array<enum_name<Enum>, Size>& table) {
        const std::optional<Enum> value = value_of(table, lower_case(text(column)));
        if (!value) {
            std::string list;
            for (const enum_name<Enum>& row : table) {
                list += (list.empty() ? "" : ", ") + std::string(row.name);
            }
            fail(column, "must be one of " + list);
        }
        return value;
    }

    void fail(sheet_column column, const std::string& message);

    static std::string lower_case(std::string_view text);

private:
    void fail_number(sheet_column column, const std::string& allowed);

    const csv_row& row_;
    const column_positions& positions_;
    std::vector<sheet_error>& errors_;
};

} // namespace egretstile
