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

    /// Value of the header; empty when the context is empty.
    std::string traceparent() const;
    /// Parses a header; an empty context when it is not a valid traceparent.
    static trace_context parse(const std::string& traceparent);
};

/// A finished span.
struct span_data {
    std::string name;
    trace_context context;
    std::string parent_span_id;
    std::int64_t start_ns{0};
    std::int64_t end_ns{0};
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Appends spans as OTLP/JSON lines to a file. Thread-safe.
class tracer {
public:
    /// All spans are discarded when `file` is empty or cannot be opened.
    tracer(std::string service, const std::string& file);

    bool enabled() const { return enabled_; }

    void record(const span_data& span);

private:
    std::string service_;
    bool enabled_;
    std::mutex mutex_;
    std::ofstream output_;
};

/// A span in progress; recorded when it is finished or destroyed. `recorder` must outlive it. Not
/// thread-safe.
class span {
public:
    /// Starts a child of `parent`, or the root of a new trace when `parent` is empty.
    span(tracer& recorder, std::string name, const trace_context& parent);
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    span(span&&) = delete;
    span& operator=(span&&) = delete;
    ~span();

    /// Context to send with calls that are part of this span.
    const trace_context& context() const { return data_.context; }

    void set_attribute(std::string name, std::string value);
    /// Records the span with the current time as its end. Later calls do nothing.
    void finish();

private:
    tracer& recorder_;
    span_data data_;
    bool finished_{false};
};

} // namespace egretstile::daemon
