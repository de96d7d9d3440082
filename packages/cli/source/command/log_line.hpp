#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::cli {

/// One line of a process's log: `TIME LEVEL PART: MESSAGE NAME=VALUE...`.
struct log_line {
    /// UTC in ISO 8601 with milliseconds, so that the order of the texts is that of the times.
    std::string time;
    /// Process that wrote the line: the name that a log collector put before the time, or else the
    /// name of the log file.
    std::string source;
    std::string level;
    std::string part;
    std::string message;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of the field `name`; empty when the line has no such field.
    std::string field(const std::string& name) const;
};

/// Parses one line; returns nothing when it is not a log line. `default_source` is the source of a
/// line without a name before the time. Thread-safe.
std::optional<log_line> parse_log_line(const std::string& text, const std::string& default_source);

} // namespace egretstile::cli
