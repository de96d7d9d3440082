#include "telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace egretstile::daemon {

namespace {

constexpr double microseconds_per_second = 1e6;

double seconds_of(const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / microseconds_per_second;
}

double processor_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

double resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    long total_pages = 0;
    long resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

const std::vector<double>& latency_bucket_bounds() {
    static const std::vector<double> bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                            0.1,    0.2,   0.5,   1.0,   2.0,  5.0};
    return bounds;
}

prometheus::Counter& metrics::counter(const std::string& name, const std::string& help,
                                      const labels& values) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(values);
}

prometheus::Gauge& metrics::gauge(const std::string& name, const std::string& help,
                                  const labels& values) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(values);
}

prometheus::Histogram& metrics::histogram(const std::string& name, const std::string& help,
                                          const std::vector<double>& upper_bounds,
                                          const labels& values) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(values,
                                                                                      upper_bounds);
}

std::string metrics::text() {
    update_process_metrics();
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

void metrics::update_process_metrics() {
    gauge("process_cpu_seconds", "Processor time used by the process.").Set(processor_seconds());
    gauge("process_resident_bytes", "Memory of the process that is in RAM.").Set(resident_bytes());
}

} // namespace egretstile::daemon
