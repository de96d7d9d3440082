#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/task/task.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace egretstile::standins {

/// What a run does; from its payload, for example "work_ms=500;result=ok;fail=0;use_percent=60".
struct work_payload {
    /// Work until the end; nothing: runs until it is stopped.
    std::optional<std::chrono::microseconds> work;
    std::string result{"ok"};
    /// Attempts up to this number fail when their work is done.
    attempt_number failing_attempts{0};
    /// Share of the declared processors and memory that the run uses.
    std::uint32_t use_percent{80};
};

/// Unknown fields are ignored; a missing or malformed number keeps its default. A watch task
/// without `work_ms` runs until it is stopped, any other task works for 100 ms.
work_payload parse_payload(const std::string& text, task_kind kind);

/// Progress in a checkpoint token. Nothing: malformed. An empty token is no progress.
std::optional<std::chrono::microseconds> progress_of(const std::string& checkpoint);

std::string checkpoint_of(std::chrono::microseconds progress);

} // namespace egretstile::standins
