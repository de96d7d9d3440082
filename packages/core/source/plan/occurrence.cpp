#include <egretstile/core/plan/occurrence.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace egretstile {

namespace {

using std::chrono::days;
using std::chrono::minutes;
using std::chrono::sys_days;
using std::chrono::year_month_day;
using wall_time = std::chrono::sys_time<milliseconds>;

/// A time zone without daylight saving time.
struct zone_entry {
    std::string_view name;
    minutes offset;
};

constexpr std::array<zone_entry, 3> zones{
    {{"UTC", minutes(0)},
     {"Asia/Ulaanbaatar", std::chrono::hours(8)}, // No daylight saving time since 2017.
     {"Africa/Nairobi", std::chrono::hours(3)}}};

/// Task key of the occurrence on a local date; see `occurrence::key`.
std::string dated_key(const std::string& name, sys_days local_day) {
    const year_month_day date(local_day);
    std::array<char, 32> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "@%04d-%02u-%02u", static_cast<int>(date.year()),
                      static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()));
    return name + std::string(text.data(), static_cast<std::size_t>(length));
}

/// Whether a daily or monthly row is due on the day.
bool runs_on(const plan_row& row, sys_days local_day) {
    if (row.repeats == recurrence::daily) {
        return true;
    }
    const year_month_day date(local_day);
    const std::chrono::day last = (date.year() / date.month() / std::chrono::last).day();
    return date.day() == std::min(std::chrono::day(row.day_of_month), last);
}

std::vector<occurrence> recurring_occurrences(const plan_row& row, minutes offset, wall_time after,
                                              wall_time until) {
    std::vector<occurrence> due;
    const sys_days last_day = std::chrono::floor<days>(until + offset);
    for (sys_days day = std::chrono::floor<days>(after + offset); day <= last_day; day += days(1)) {
        const wall_time at = day + minutes(row.minute_of_day) - offset;
        if (at > after && at <= until && runs_on(row, day)) {
            due.push_back({dated_key(row.name, day), at.time_since_epoch().count()});
        }
    }
    return due;
}

} // namespace

std::optional<minutes> zone_offset(std::string_view zone) {
    for (const zone_entry& row : zones) {
        if (row.name == zone) {
            return row.offset;
        }
    }
    return std::nullopt;
}

std::string supported_zones() {
    std::string list;
    for (const zone_entry& row : zones) {
        list += (list.empty() ? "" : ", ") + std::string(row.name);
    }
    return list;
}

std::variant<std::vector<occurrence>, unsupported_zone>
due_occurrences(const plan_row& row, std::int64_t after_ms, std::int64_t until_ms) {
    if (row.type == row_type::service) {
        return std::vector<occurrence>();
    }
    if (row.type == row_type::watch || row.repeats == recurrence::standing) {
        return std::vector<occurrence>{{row.name, until_ms}};
    }
    const std::optional<minutes> offset =
        zone_offset(row.time_zone.empty() ? "UTC" : row.time_zone);
    if (!offset) {
        return unsupported_zone{row.time_zone};
    }
    if (row.repeats == recurrence::once) {
        const wall_time added{milliseconds(row.added_at_ms)};
        if (row.added_at_ms <= after_ms || row.added_at_ms > until_ms) {
            return std::vector<occurrence>();
        }
        return std::vector<occurrence>{
            {dated_key(row.name, std::chrono::floor<days>(added + *offset)), row.added_at_ms}};
    }
    // A row that is added after its time of day has its first occurrence on the next due day.
    const wall_time after{milliseconds(std::max(after_ms, row.added_at_ms - 1))};
    return recurring_occurrences(row, *offset, after, wall_time(milliseconds(until_ms)));
}

task_spec task_of(const plan_row& row, const task_key& key) {
    task_spec spec;
    spec.key = key;
    spec.kind = row.kind;
    spec.priority = row.priority;
    spec.team = row.team;
    spec.need = row.need;
    spec.idempotent = row.idempotent;
    spec.declared_run_time = row.run_time;
    spec.payload = row.payload;
    return spec;
}

} // namespace egretstile
