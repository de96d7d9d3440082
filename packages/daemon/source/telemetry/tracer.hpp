#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::daemon {

/// Position in a trace, as the W3C header `traceparent` carries it.
struct trace_context {
    std::string trace_id;
    std::string span_id;

    /// Value of the header; empty when there is no trace.
    std::string traceparent() const;
    /// Context of a header; an empty one for any text that is not a traceparent.
    static trace_context parse(const std::string& traceparent);
};

/// One finished hop.
struct span_data {
    std::string name;
    trace_context context;
    std::string parent_span_id;
    std::int64_t start_ns{0};
    std::int64_t end_ns{0};
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Writes spans as OTLP/JSON lines to a file. Thread-safe.
class tracer {
public:
    /// An empty `file` drops all spans.
    tracer(std::string service, const std::string& file);

    bool enabled() const { return enabled_; }

    void record(const span_data& span);

private:
    std::string service_;
    bool enabled_;
    std::mutex mutex_;
    std::ofstream output_;
};

/// A hop in progress; recorded when it is finished or destroyed. Not thread-safe.
class span {
public:
    /// Child of `parent`; the root of a new trace when `parent` is empty.
    span(tracer& owner, std::string name, const trace_context& parent);
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    span(span&&) = delete;
    span& operator=(span&&) = delete;
    ~span();

    /// Context that goes to the next hop.
    const trace_context& context() const { return data_.context; }

    void set_attribute(std::string name, std::string value);
    /// Later calls do nothing.
    void finish();

private:
    tracer& owner_;
    span_data data_;
    bool finished_{false};
};

} // namespace egretstile::daemon
