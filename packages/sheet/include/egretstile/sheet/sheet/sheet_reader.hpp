#pragma once

#include <egretstile/core/plan/plan_edit.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The CSV sheet. Its first row may be `# plan_version,N`, the version of the plan that it was
/// exported from. Then comes the header with all columns in any order, then one row for each
/// service, batch job, watch task and team. Separators are commas or semicolons.
namespace egretstile {

/// One fault of a sheet.
struct sheet_error {
    /// Row as a spreadsheet counts it, from 1, blank rows included; zero: the whole sheet.
    std::size_t row{0};
    /// Empty when the fault is not in one column.
    std::string column;
    std::string value;
    /// What is wrong and what is allowed.
    std::string message;

    friend bool operator==(const sheet_error&, const sheet_error&) = default;
};

/// The error as one line, `row ROW, column COLUMN, value "VALUE": MESSAGE`. Thread-safe.
std::string to_string(const sheet_error& error);

/// A sheet without faults.
struct sheet_document {
    sheet rows;
    /// Nothing when the sheet names no version.
    std::optional<std::uint64_t> plan_version;
};

/// Largest sheet in bytes. The plan is one value of at most 1 MB in the key-value service.
constexpr std::size_t max_sheet_size = 4'000'000;

/// Reads the text of a sheet. Gives all faults at once, in the order of rows. Thread-safe.
std::variant<sheet_document, std::vector<sheet_error>> read_sheet(std::string_view text);

} // namespace egretstile
