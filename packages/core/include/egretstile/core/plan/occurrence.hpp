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

/// One run that a batch or watch row of the plan asks for.
struct occurrence {
    /// `NAME@YYYY-MM-DD` with the local date on which it is due; `NAME` for a watch row. Every
    /// entry derives the same key, so a run that two entries submit is accepted once.
    task_key key;
    /// Wall-clock time in milliseconds since 1970.
    std::int64_t due_at_ms{0};

    friend bool operator==(const occurrence&, const occurrence&) = default;
};

/// Longest `until_ms - after_ms` that callers should ask for. It must be at most
/// `ledger_limits::final_retention`: when an occurrence is still due after the ledger forgot that
/// it has run, it runs twice.
constexpr std::chrono::milliseconds occurrence_lookback = std::chrono::hours(12);

/// Difference of local time to UTC, or nothing for a zone that is not supported. Supported are UTC,
/// Asia/Ulaanbaatar and Africa/Nairobi, which have no daylight saving time; there is no time zone
/// database in the core. Thread-safe.
std::optional<std::chrono::minutes> zone_offset(std::string_view zone);

/// Names of the supported zones, separated by commas, for error messages. Thread-safe.
std::string supported_zones();

/// The row's time zone is not supported.
struct unsupported_zone {
    std::string zone;
};

/// Runs of the row that are due after `after_ms` and up to `until_ms`, in the order of time.
/// Services have none. A watch row is always due. A once row is due when it was added; daily and
/// monthly rows have no occurrence before they were added. A monthly row of a day that the month
/// does not have is due on its last day. Thread-safe.
std::variant<std::vector<occurrence>, unsupported_zone>
due_occurrences(const plan_row& row, std::int64_t after_ms, std::int64_t until_ms);

/// The task of an occurrence of the row. Thread-safe.
task_spec task_of(const plan_row& row, const task_key& key);

} // namespace egretstile
