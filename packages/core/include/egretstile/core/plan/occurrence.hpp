#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/task/task.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egretstile {

/// One task that a batch or watch row of the plan asks for.
struct occurrence {
    /// `NAME@YYYY-MM-DD` with the local date on which the task is due; `NAME` for a watch row. All
    /// entries derive the same key, so a task that two entries submit is accepted only once.
    task_key key;
    /// Wall-clock time in milliseconds since 1970 (UTC).
    std::int64_t due_at_ms{0};

    friend bool operator==(const occurrence&, const occurrence&) = default;
};

/// Longest `until_ms - after_ms` with which callers should call `due_occurrences`. It must not
/// exceed `ledger_limits::final_retention`: an occurrence that is still due after the ledger has
/// deleted the record of its run would run twice.
constexpr std::chrono::milliseconds occurrence_lookback = std::chrono::hours(12);

/// Offset of local time from UTC, or nothing if the zone is not supported. The core has no time
/// zone database and supports only UTC, Asia/Ulaanbaatar and Africa/Nairobi, which have no daylight
/// saving time. Thread-safe.
std::optional<std::chrono::minutes> zone_offset(std::string_view zone);

/// Names of the supported zones, separated by commas, for error messages. Thread-safe.
std::string supported_zones();

/// Error: the time zone of a row is not supported.
struct unsupported_zone {
    std::string zone;
};

/// Occurrences of the row that are due after `after_ms` and not later than `until_ms`, ordered by
/// time. Both are wall-clock times in milliseconds since 1970 (UTC). A service row has no
/// occurrences. A watch row or a `standing` row is always due, at `until_ms`. A `once` row is due
/// at the time when it was added; daily and monthly rows have no occurrence before that time. A
/// monthly row is due on the last day of a month that is too short for its day. Thread-safe.
std::variant<std::vector<occurrence>, unsupported_zone>
due_occurrences(const plan_row& row, std::int64_t after_ms, std::int64_t until_ms);

/// Specification of the task for the occurrence of the row that has this key. Thread-safe.
task_spec task_of(const plan_row& row, const task_key& key);

} // namespace egretstile
