#pragma once

#include <sys/types.h>

#include <chrono>
#include <vector>

namespace egretstile::bench {

/// Processor time of several processes of one role since construction. Throws std::exception when
/// a process has ended.
class process_usage {
public:
    explicit process_usage(std::vector<pid_t> processes);

    /// Greatest share among the processes since construction, in percent of one core.
    double highest_processor_percent() const;

    /// Greatest resident memory among the processes at this time.
    double highest_resident_mb() const;

private:
    std::vector<pid_t> processes_;
    std::vector<double> begin_seconds_;
    std::chrono::steady_clock::time_point begin_;
};

} // namespace egretstile::bench
