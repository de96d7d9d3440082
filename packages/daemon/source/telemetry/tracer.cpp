#include "telemetry/tracer.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <random>
#include <sstream>
#include <utility>

namespace egretstile::daemon {

namespace {

// Lengths and offsets of the parts of a traceparent header, in characters (W3C Trace Context,
// section 3.2).
constexpr std::size_t version_length = 2;
constexpr std::size_t trace_id_length = 32;
constexpr std::size_t span_id_length = 16;
constexpr std::size_t flags_length = 2;
constexpr std::size_t trace_id_offset = version_length + 1;
constexpr std::size_t span_id_offset = trace_id_offset + trace_id_length + 1;
constexpr std::size_t flags_offset = span_id_offset + span_id_length + 1;
constexpr std::size_t header_length = flags_offset + flags_length;

// SPAN_KIND_SERVER in the enum SpanKind of OTLP.
constexpr int span_kind_server = 2;

bool is_hex(const std::string& text) {
    return std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

bool is_zero(const std::string& text) {
    return text.find_first_not_of('0') == std::string::npos;
}

std::string random_id(std::size_t length) {
    thread_local std::mt19937_64 random = [] {
        std::random_device device;
        std::seed_seq seed{device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    constexpr const char* digits = "0123456789abcdef";
    std::uniform_int_distribution<std::size_t> digit(0, 15);
    std::string id;
    do {
        id.clear();
        for (std::size_t i = 0; i < length; ++i) {
            id += std::string_view(digits).at(digit(random));
        }
    } while (is_zero(id)); // an id of only zeros is invalid
    return id;
}

std::int64_t unix_time_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Poco::JSON::Object attribute(const std::string& key, const std::string& value) {
    Poco::JSON::Object text;
    text.set("stringValue", value);
    Poco::JSON::Object result;
    result.set("key", key);
    result.set("value", text);
    return result;
}

/// A JSON array with one element; OTLP nests spans in arrays of scopes and resources.
Poco::JSON::Array array_of(const Poco::JSON::Object& element) {
    Poco::JSON::Array result;
    result.add(element);
    return result;
}

Poco::JSON::Object span_json(const span_data& span) {
    Poco::JSON::Object result;
    result.set("traceId", span.context.trace_id);
    result.set("spanId", span.context.span_id);
    if (!span.parent_span_id.empty()) {
        result.set("parentSpanId", span.parent_span_id);
    }
    result.set("name", span.name);
    result.set("kind", span_kind_server);
    // OTLP/JSON encodes 64-bit integers as strings.
    result.set("startTimeUnixNano", std::to_string(span.start_ns));
    result.set("endTimeUnixNano", std::to_string(span.end_ns));
    Poco::JSON::Array attributes;
    for (const std::pair<std::string, std::string>& pair : span.attributes) {
        attributes.add(attribute(pair.first, pair.second));
    }
    result.set("attributes", attributes);
    return result;
}

std::string otlp_line(const std::string& service, const span_data& span) {
    Poco::JSON::Object scope;
    scope.set("name", "egretstile");
    Poco::JSON::Object scope_spans;
    scope_spans.set("scope", scope);
    scope_spans.set("spans", array_of(span_json(span)));
    Poco::JSON::Object resource;
    resource.set("attributes", array_of(attribute("service.name", service)));
    Poco::JSON::Object resource_spans;
    resource_spans.set("resource", resource);
    resource_spans.set("scopeSpans", array_of(scope_spans));
    Poco::JSON::Object batch;
    batch.set("resourceSpans", array_of(resource_spans));
    std::ostringstream line;
    batch.stringify(line);
    return line.str();
}

} // namespace

std::string trace_context::traceparent() const {
    return trace_id.empty() ? std::string() : "00-" + trace_id + "-" + span_id + "-01";
}

trace_context trace_context::parse(const std::string& traceparent) {
    if (traceparent.size() < header_length || traceparent[version_length] != '-' ||
        traceparent[span_id_offset - 1] != '-' || traceparent[flags_offset - 1] != '-') {
        return {};
    }
    const std::string version = traceparent.substr(0, version_length);
    const std::string flags = traceparent.substr(flags_offset, flags_length);
    trace_context context{traceparent.substr(trace_id_offset, trace_id_length),
                          traceparent.substr(span_id_offset, span_id_length)};
    // Versions after "00" may append fields after another dash; "ff" is not a valid version.
    const bool length_allowed = traceparent.size() == header_length ||
                                (version != "00" && traceparent[header_length] == '-');
    if (!length_allowed || version == "ff" || !is_hex(version) || !is_hex(flags) ||
        !is_hex(context.trace_id) || !is_hex(context.span_id) || is_zero(context.trace_id) ||
        is_zero(context.span_id)) {
        return {};
    }
    return context;
}

tracer::tracer(std::string service, const std::string& file)
    : service_(std::move(service))
    , enabled_(!file.empty()) {
    if (enabled_) {
        output_.open(file, std::ios::app);
        enabled_ = output_.is_open();
    }
}

void tracer::record(const span_data& span) {
    if (!enabled_) {
        return;
    }
    const std::string line = otlp_line(service_, span);
    const std::lock_guard<std::mutex> lock(mutex_);
    // Flushed at once, so that a killed process does not lose the spans that show its last actions.
    output_ << line << '\n' << std::flush;
}

span::span(tracer& recorder, std::string name, const trace_context& parent)
    : recorder_(recorder) {
    if (!recorder_.enabled()) {
        // Passes the parent's context on, so that the next process's span is linked to the parent.
        data_.context = parent;
        return;
    }
    data_.name = std::move(name);
    data_.context.trace_id = parent.trace_id.empty() ? random_id(trace_id_length) : parent.trace_id;
    data_.context.span_id = random_id(span_id_length);
    data_.parent_span_id = parent.span_id;
    data_.start_ns = unix_time_ns();
}

span::~span() {
    finish();
}

void span::set_attribute(std::string name, std::string value) {
    if (recorder_.enabled()) {
        data_.attributes.emplace_back(std::move(name), std::move(value));
    }
}

void span::finish() {
    if (finished_) {
        return;
    }
    finished_ = true;
    data_.end_ns = unix_time_ns();
    recorder_.record(data_);
}

} // namespace egretstile::daemon
