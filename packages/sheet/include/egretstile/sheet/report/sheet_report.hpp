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
    accepted,  ///< The sheet is the plan; of a dry run: it would become the plan.
    unchanged, ///< The plan was already what the sheet asks for.
    refused,   ///< Nothing was changed.
    unknown    ///< The write's fate is not known; apply the same sheet again.
};

inline constexpr std::array<enum_name<sheet_outcome>, 4> sheet_outcome_names{
    {{sheet_outcome::accepted, "accepted"},
     {sheet_outcome::unchanged, "unchanged"},
     {sheet_outcome::refused, "refused"},
     {sheet_outcome::unknown, "unknown"}}};

/// Response of `POST /v1/sheet`, shared by the entry and the command-line tool.
struct sheet_report {
    sheet_outcome outcome{sheet_outcome::unknown};
    /// The plan's version after the call.
    std::uint64_t version{0};
    std::vector<sheet_error> errors;
    std::vector<sheet_conflict> conflicts;
    /// As in `sheet_refusal`.
    std::size_t removals{0};
    std::size_t present{0};
    /// What changes, or would change in a dry run.
    std::vector<plan_difference> differences;

    friend bool operator==(const sheet_report&, const sheet_report&) = default;
};

/// Report of a sheet that `merge_sheet` refused. Thread-safe.
sheet_report refused_report(const sheet_refusal& refusal, std::uint64_t version);

/// The report as a JSON object. Thread-safe.
std::string to_json(const sheet_report& report);

/// Report of a JSON text; nothing for any other text. Thread-safe.
std::optional<sheet_report> parse_sheet_report(const std::string& json);

} // namespace egretstile
