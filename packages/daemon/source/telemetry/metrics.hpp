#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Upper bounds in seconds for latencies of calls; fine around those of a local network.
const std::vector<double>& latency_bounds();

/// Metrics of one process. Reading and changing metrics is thread-safe.
class metrics {
public:
    using labels = std::map<std::string, std::string>;

    /// Names end with their unit, or with `_total` for counts.
    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const labels& values = {});
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const labels& values = {});
    prometheus::Histogram& histogram(const std::string& name, const std::string& help,
                                     const std::vector<double>& upper_bounds,
                                     const labels& values = {});

    /// All metrics in Prometheus's text format, with the processor time and memory of the process.
    std::string text();

private:
    void update_process_metrics();

    prometheus::Registry registry_;
};

} // namespace egretstile::daemon
