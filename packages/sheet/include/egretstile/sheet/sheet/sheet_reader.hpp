#pragma once

#include <egretstile/core/plan/plan_edit.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Reads the plan as a CSV sheet. The first row may be `# plan_version,N`, the version of the plan
/// that the sheet was exported from. The header follows, with all columns in any order, then one
/// row for each service, batch job, watch task and team. The separator is a comma or a semicolon.
namespace egretstile {

/// One error in a sheet.
struct sheet_error {
    /// Row number as a spreadsheet shows it, counted from 1 and including blank rows; 0 when the
    /// error concerns the whole sheet.
    std::size_t row{0};
    /// Empty when the error does not concern a single column.
    std::string column;
    std::string value;
    /// What is wrong, or which values are allowed.
    std::string message;

    friend bool operator==(const sheet_error&, const sheet_error&) = default;
};

/// Formats the error as `row ROW, column COLUMN, value "VALUE": MESSAGE`. Thread-safe.
std::string to_string(const sheet_error& error);

/// Content of a sheet without errors.
struct sheet_document {
    sheet rows;
    /// Empty when the sheet does not give a version.
    std::optional<std::uint64_t> plan_version;
};

/// Largest accepted sheet. The plan itself is one value of at most 1 MB in the key-value service.
constexpr std::size_t max_sheet_bytes = 4'000'000;

/// Parses the text of a sheet. Returns all errors together, in the order of rows. Thread-safe.
std::variant<sheet_document, std::vector<sheet_error>> read_sheet(std::string_view text);

} // namespace egretstile
