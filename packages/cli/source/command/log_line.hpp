#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::cli {

/// One line of a process's log: `TIME LEVEL PART: SENTENCE NAME=VALUE...`.
struct log_line {
    /// UTC, ISO 8601 with milliseconds; sorts as text.
    std::string time;
    /// The process: what a collector wrote before the time, else the name of the file.
    std::string source;
    std::string level;
    std::string part;
    std::string sentence;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty when there is no such field.
    std::string field(const std::string& name) const;
};

/// Nothing when the text is no line of a log. Thread-safe.
std::optional<log_line> parse_log_line(const std::string& text, const std::string& file);

} // namespace egretstile::cli
