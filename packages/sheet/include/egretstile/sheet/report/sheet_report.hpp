#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/plan/plan_diff.hpp>
#include <egretstile/core/plan/plan_edit.hpp>
#include <egretstile/sheet/sheet/sheet_reader.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egretstile {

enum class sheet_outcome : std::uint8_t {
    accepted,  ///< The sheet was applied to the plan, or would have been without a dry run.
    unchanged, ///< The plan already matched the sheet.
    refused,   ///< Nothing was changed.
    unknown    ///< It is not known whether the write took effect; apply the same sheet again.
};

inline constexpr std::array<enum_name<sheet_outcome>, 4> sheet_outcome_names{
    {{sheet_outcome::accepted, "accepted"},
     {sheet_outcome::unchanged, "unchanged"},
     {sheet_outcome::refused, "refused"},
     {sheet_outcome::unknown, "unknown"}}};

/// Response to `POST /v1/sheet`. The entry writes it and the command line reads it.
struct sheet_report {
    sheet_outcome outcome{sheet_outcome::unknown};
    /// The plan's version after the call.
    std::uint64_t version{0};
    std::vector<sheet_error> errors;
    std::vector<sheet_conflict> conflicts;
    /// The same counts as in `sheet_refusal`.
    std::size_t removals{0};
    std::size_t present{0};
    /// Changes that were made; in a dry run, those that would be made.
    std::vector<plan_difference> differences;

    friend bool operator==(const sheet_report&, const sheet_report&) = default;
};

/// Builds the report for a sheet that `merge_sheet` refused. `version` is the plan's version.
/// Thread-safe.
sheet_report refused_report(const sheet_refusal& refusal, std::uint64_t version);

/// Formats the report as a JSON object. Thread-safe.
std::string to_json(const sheet_report& report);

/// Parses a report from JSON. Returns nothing when the text is not a complete report. Thread-safe.
std::optional<sheet_report> parse_sheet_report(const std::string& json);

} // namespace egretstile
