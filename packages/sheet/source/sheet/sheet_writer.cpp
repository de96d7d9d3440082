#include "sheet/sheet_column.hpp"

#include <egretstile/sheet/sheet/sheet_writer.hpp>

#include <array>
#include <cstdio>
#include <vector>

namespace egretstile {

namespace {

std::string quoted(const std::string& cell) {
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

std::string decimal(std::int64_t thousandths) {
    std::string text = std::to_string(thousandths / thousand);
    std::int64_t rest = thousandths % thousand;
    if (rest == 0) {
        return text;
    }
    text += '.';
    for (std::int64_t digit = thousand / 10; rest != 0; digit /= 10) {
        text += static_cast<char>('0' + rest / digit);
        rest %= digit;
    }
    return text;
}

std::string clock_time(std::uint32_t minute_of_day) {
    constexpr std::uint32_t minutes = 60;
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%02u:%02u", minute_of_day / minutes,
                                     minute_of_day % minutes);
    return {text.data(), static_cast<std::size_t>(length)};
}

/// Cells in the order of `sheet_column_names`.
std::string line_of(const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += (i == 0 ? "" : ",") + quoted(cells[i]);
    }
    return line + "\n";
}

std::string line_of(const plan_row& row) {
    const bool is_batch = row.type == row_type::batch;
    const bool repeats = row.repeats == recurrence::daily || row.repeats == recurrence::monthly;
    const std::int64_t run_time_s =
        std::chrono::duration_cast<std::chrono::seconds>(row.run_time).count();
    return line_of(
        {std::string(name_of(row_type_names, row.type)), row.name, row.team,
         row.type == row_type::service ? "" : std::string(name_of(task_kind_names, row.kind)),
         std::string(name_of(task_priority_names, row.priority)), row.idempotent ? "yes" : "no",
         decimal(row.need.cpu_millicores), decimal(row.need.memory_mb),
         std::to_string(row.need.accelerators), std::string(name_of(recurrence_names, row.repeats)),
         row.repeats == recurrence::monthly ? std::to_string(row.day_of_month) : "",
         repeats ? clock_time(row.minute_of_day) : "", row.time_zone,
         is_batch ? std::to_string(run_time_s) : "", row.payload});
}

std::string line_of(const team_plan& team) {
    return line_of({std::string(team_type), team.name, "", "", "", "",
                    decimal(team.quota.cpu_millicores), decimal(team.quota.memory_mb),
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
    text += line_of(header);
    for (const team_plan& team : value.teams) {
        text += line_of(team);
    }
    for (const plan_row& row : value.rows) {
        text += line_of(row);
    }
    return text;
}

} // namespace egretstile
