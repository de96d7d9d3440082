#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/task/task.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace egretstile::standins {

/// Work of a run, described by a payload such as "work_ms=500;result=ok;fail=0;use_percent=60".
struct work_payload {
    /// Execution time that the run needs at full speed. Empty for a run that continues until it is
    /// stopped.
    std::optional<std::chrono::microseconds> work;
    std::string result{"ok"};
    /// Attempts up to and including this number fail when their work is done.
    attempt_number failing_attempts{0};
    /// Percentage of the declared processors and memory that the run uses.
    std::uint32_t use_percent{80};
};

/// Parses a payload. Unknown fields are ignored; a missing or malformed number keeps its default. A
/// watch task without `work_ms` runs until it is stopped, any other task works for 100 ms.
work_payload parse_payload(const std::string& text, task_kind kind);

/// Progress that a checkpoint token records: 0 for an empty token, nothing for a malformed one.
std::optional<std::chrono::microseconds> progress_of(const std::string& checkpoint);

std::string checkpoint_of(std::chrono::microseconds progress);

} // namespace egretstile::standins
