#include "sheet/sheet_column.hpp"

#include <egretstile/sheet/sheet/sheet_writer.hpp>

#include <array>
#include <cstdio>
#include <vector>

namespace egretstile {

namespace {

/// Encloses the cell in quotes when it contains a separator, a quote or a line break.
std::string quote_if_needed(const std::string& cell) {
    if (cell.find_first_of(",;\"\r\n") == std::string::npos) {
        return cell;
    }
    std::string result = "\"";
    for (const char character : cell) {
        result += character;
        if (character == '"') {
            result += '"';
        }
    }
    return result + "\"";
}

/// Inverse of the reader's conversion: "1.25" for 1250.
std::string format_thousandths(std::int64_t thousandths) {
    std::string text = std::to_string(thousandths / thousandths_per_unit);
    std::int64_t remainder = thousandths % thousandths_per_unit;
    if (remainder == 0) {
        return text;
    }
    text += '.';
    for (std::int64_t digit = thousandths_per_unit / 10; remainder != 0; digit /= 10) {
        text += static_cast<char>('0' + remainder / digit);
        remainder %= digit;
    }
    return text;
}

std::string format_time_of_day(std::uint32_t minute_of_day) {
    constexpr std::uint32_t minutes_per_hour = 60;
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%02u:%02u", minute_of_day / minutes_per_hour,
                      minute_of_day % minutes_per_hour);
    return {text.data(), static_cast<std::size_t>(length)};
}

/// One line of the sheet; `cells` are in the order of `sheet_column_names`.
std::string csv_line(const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += (i == 0 ? "" : ",") + quote_if_needed(cells[i]);
    }
    return line + "\n";
}

std::string csv_line(const plan_row& row) {
    const bool is_batch = row.type == row_type::batch;
    const bool repeats = row.repeats == recurrence::daily || row.repeats == recurrence::monthly;
    const std::int64_t run_time_s =
        std::chrono::duration_cast<std::chrono::seconds>(row.run_time).count();
    return csv_line(
        {std::string(name_of(row_type_names, row.type)), row.name, row.team,
         row.type == row_type::service ? "" : std::string(name_of(task_kind_names, row.kind)),
         std::string(name_of(task_priority_names, row.priority)), row.idempotent ? "yes" : "no",
         format_thousandths(row.need.cpu_millicores), format_thousandths(row.need.memory_mb),
         std::to_string(row.need.accelerators), std::string(name_of(recurrence_names, row.repeats)),
         row.repeats == recurrence::monthly ? std::to_string(row.day_of_month) : "",
         repeats ? format_time_of_day(row.minute_of_day) : "", row.time_zone,
         is_batch ? std::to_string(run_time_s) : "", row.payload});
}

std::string csv_line(const team_plan& team) {
    return csv_line({std::string(team_type), team.name, "", "", "", "",
                     format_thousandths(team.quota.cpu_millicores),
                     format_thousandths(team.quota.memory_mb),
                     std::to_string(team.quota.accelerators), "", "", "", "", "", ""});
}

} // namespace

std::string write_sheet(const plan& value) {
    std::string text = std::string(plan_version_cell) + "," + std::to_string(value.version) + "\n";
    std::vector<std::string> header;
    header.reserve(sheet_column_names.size());
    for (const enum_name<sheet_column>& column : sheet_column_names) {
        header.emplace_back(column.name);
    }
    text += csv_line(header);
    for (const team_plan& team : value.teams) {
        text += csv_line(team);
    }
    for (const plan_row& row : value.rows) {
        text += csv_line(row);
    }
    return text;
}

} // namespace egretstile
