#pragma once

#include "command/log_line.hpp"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace egretstile::cli {

/// Log lines of several processes, ordered by time. The clocks of VMs differ slightly, so lines of
/// different processes that are a few milliseconds apart may be in the wrong order. Not
/// thread-safe.
class log_timeline {
public:
    /// Adds the lines of one log; `default_source` is the source of lines that do not name one.
    void read(std::istream& input, const std::string& default_source);

    /// Selects the lines of the job and, from one second before the first of them to one second
    /// after the last, its context: lines without a job that report on a process and its
    /// dependencies (leader changes, lost or restored connections) or are not of level `info`.
    /// Empty when no line names the job.
    log_timeline filter_by_job(const std::string& job) const;

    const std::vector<log_line>& lines() const { return lines_; }

    /// Number of lines that could not be parsed as log lines.
    std::size_t skipped() const { return skipped_; }

private:
    void sort();

    std::vector<log_line> lines_;
    std::size_t skipped_{0};
};

/// Human-readable text, one line per log line. Thread-safe.
std::string describe(const log_timeline& timeline);
/// One JSON object per line. Thread-safe.
std::string to_json(const log_timeline& timeline);
/// Summary of the job: its waits, attempts and result, and how often each context line occurred
/// during that time. Empty when no line names the job. Thread-safe.
std::string summarize_job(const log_timeline& timeline, const std::string& job);

} // namespace egretstile::cli
