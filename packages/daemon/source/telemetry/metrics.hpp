#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Upper bounds of histogram buckets for the latencies of calls, in seconds; finest in the range of
/// calls within a local network. Thread-safe.
const std::vector<double>& latency_bucket_bounds();

/// Registry of the metrics of one process. Thread-safe.
class metrics {
public:
    using labels = std::map<std::string, std::string>;

    /// Creates a metric, or returns the existing one with this name and these labels. By convention
    /// a name ends with its unit, or with `_total` for a counter.
    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const labels& values = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const labels& values = {});
    prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                     const std::vector<double>& upper_bounds,
                                     const labels& values = {});

    /// All metrics in the Prometheus text format, including processor time and memory of the
    /// process.
    std::string text();

private:
    void update_process_metrics();

    prometheus::Registry registry_;
};

} // namespace egretstile::daemon
