#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace egretstile {

/// Columns of the sheet, in the order in which `write_sheet` writes them.
enum class sheet_column : std::uint8_t {
    type,
    name,
    team,
    kind,
    priority,
    idempotent,
    cpus,
    memory_gb,
    accelerators,
    repeats,
    day_of_month,
    time,
    time_zone,
    run_time_s,
    payload
};

inline constexpr std::array<enum_name<sheet_column>, 15> sheet_column_names{
    {{sheet_column::type, "type"},
     {sheet_column::name, "name"},
     {sheet_column::team, "team"},
     {sheet_column::kind, "kind"},
     {sheet_column::priority, "priority"},
     {sheet_column::idempotent, "idempotent"},
     {sheet_column::cpus, "cpus"},
     {sheet_column::memory_gb, "memory_gb"},
     {sheet_column::accelerators, "accelerators"},
     {sheet_column::repeats, "repeats"},
     {sheet_column::day_of_month, "day_of_month"},
     {sheet_column::time, "time"},
     {sheet_column::time_zone, "time_zone"},
     {sheet_column::run_time_s, "run_time_s"},
     {sheet_column::payload, "payload"}}};

/// First cell of the row that holds the plan version.
inline constexpr std::string_view plan_version_cell = "# plan_version";
/// Value of the column `type` in a row that holds a team's quota.
inline constexpr std::string_view team_type = "team";

/// The sheet gives CPUs and GB, the plan millicores and MB: thousandths of the sheet's units.
inline constexpr std::int64_t thousandths_per_unit = 1000;

} // namespace egretstile
