#pragma once

#include "command/log_line.hpp"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace egretstile::cli {

/// Lines of several processes in the order of their times. The clocks of VMs differ a little, so
/// lines of different processes within some milliseconds may be in the wrong order.
class log_timeline {
public:
    /// Adds the lines of one log; `file` names the source of lines that do not name theirs.
    void read(std::istream& input, const std::string& file);

    /// Only the job's lines, and what the processes learned of their surroundings from a second
    /// before the first of them to a second after the last: changes of leader, dependencies that
    /// were lost or came back, and warnings. Empty when there is no line of the job.
    log_timeline of_job(const std::string& job) const;

    const std::vector<log_line>& lines() const { return lines_; }

    /// Lines that are not of a log.
    std::size_t skipped() const { return skipped_; }

private:
    void sort();

    std::vector<log_line> lines_;
    std::size_t skipped_{0};
};

/// One line each, for people. Thread-safe.
std::string describe(const log_timeline& timeline);
/// One JSON object a line. Thread-safe.
std::string to_json(const log_timeline& timeline);
/// What became of the job: its waits, attempts and end, and what else was seen meanwhile.
/// Thread-safe.
std::string summarize_job(const log_timeline& timeline, const std::string& job);

} // namespace egretstile::cli
