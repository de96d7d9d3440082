#include "command/trace_tree.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace egretstile::cli {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

struct trace_span {
    std::string trace_id;
    std::string span_id;
    std::string parent_id;
    std::string service;
    std::string name;
    std::int64_t start_ns{0};
    std::int64_t end_ns{0};
    std::string attributes;
};

/// Elements of the array member `key`; empty when it is absent. Throws Poco::DataFormatException
/// when an element is not an object.
std::vector<Object::Ptr> read_objects(const Object& parent, const char* key) {
    std::vector<Object::Ptr> result;
    const Array::Ptr array = parent.getArray(key);
    for (std::size_t i = 0; !array.isNull() && i < array->size(); ++i) {
        const Object::Ptr element = array->getObject(static_cast<unsigned>(i));
        if (element.isNull()) {
            throw Poco::DataFormatException(key);
        }
        result.push_back(element);
    }
    return result;
}

std::string attribute_text(const Object& attribute) {
    const Object::Ptr value = attribute.getObject("value");
    return value.isNull() ? std::string() : value->optValue<std::string>("stringValue", "");
}

std::string service_name(const Object& resource_spans) {
    const Object::Ptr resource = resource_spans.getObject("resource");
    if (resource.isNull()) {
        return {};
    }
    for (const Object::Ptr& attribute : read_objects(*resource, "attributes")) {
        if (attribute->optValue<std::string>("key", "") == "service.name") {
            return attribute_text(*attribute);
        }
    }
    return {};
}

trace_span read_span(const Object& object, const std::string& service) {
    trace_span span;
    span.trace_id = object.getValue<std::string>("traceId");
    span.span_id = object.getValue<std::string>("spanId");
    span.parent_id = object.optValue<std::string>("parentSpanId", "");
    span.service = service;
    span.name = object.getValue<std::string>("name");
    span.start_ns = object.getValue<Poco::Int64>("startTimeUnixNano");
    span.end_ns = object.getValue<Poco::Int64>("endTimeUnixNano");
    for (const Object::Ptr& attribute : read_objects(object, "attributes")) {
        span.attributes +=
            " " + attribute->getValue<std::string>("key") + "=" + attribute_text(*attribute);
    }
    return span;
}

std::vector<trace_span> read_line(const std::string& line) {
    std::vector<trace_span> spans;
    Poco::JSON::Parser parser;
    const Object::Ptr batch = parser.parse(line).extract<Object::Ptr>();
    for (const Object::Ptr& resource_spans : read_objects(*batch, "resourceSpans")) {
        const std::string service = service_name(*resource_spans);
        for (const Object::Ptr& scope_spans : read_objects(*resource_spans, "scopeSpans")) {
            for (const Object::Ptr& span : read_objects(*scope_spans, "spans")) {
                spans.push_back(read_span(*span, service));
            }
        }
    }
    return spans;
}

std::string format_span(const trace_span& span, std::size_t depth) {
    constexpr double ns_per_ms = 1e6;
    std::array<char, 48> duration{};
    const int length = std::snprintf(duration.data(), duration.size(), " %.3f ms",
                                     static_cast<double>(span.end_ns - span.start_ns) / ns_per_ms);
    return std::string(2 * (depth + 1), ' ') + span.service + ": " + span.name +
           std::string(duration.data(), static_cast<std::size_t>(length)) + span.attributes + "\n";
}

/// Prints the spans of one trace as a tree. Not thread-safe.
class tree_printer {
public:
    explicit tree_printer(std::vector<trace_span> spans)
        : spans_(std::move(spans)) {
        std::stable_sort(spans_.begin(), spans_.end(),
                         [](const trace_span& left, const trace_span& right) {
                             return left.start_ns < right.start_ns;
                         });
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            children_[spans_[i].parent_id].push_back(i);
            span_ids_.insert(spans_[i].span_id);
        }
    }

    std::string print() {
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            if (span_ids_.find(spans_[i].parent_id) == span_ids_.end()) {
                print_subtree(i);
            }
        }
        // Spans in a cycle of parents have no root; print those that are not printed yet.
        for (std::size_t i = 0; i < spans_.size(); ++i) {
            print_subtree(i);
        }
        return text_;
    }

private:
    void print_subtree(std::size_t root) {
        std::vector<std::pair<std::size_t, std::size_t>> pending{{root, 0}};
        while (!pending.empty()) {
            const auto [index, depth] = pending.back();
            pending.pop_back();
            if (!printed_.insert(index).second) {
                continue;
            }
            text_ += format_span(spans_[index], depth);
            const std::vector<std::size_t>& children = children_[spans_[index].span_id];
            for (auto child = children.rbegin(); child != children.rend(); ++child) {
                pending.emplace_back(*child, depth + 1);
            }
        }
    }

    std::vector<trace_span> spans_;
    std::map<std::string, std::vector<std::size_t>> children_;
    std::set<std::string> span_ids_;
    std::set<std::size_t> printed_;
    std::string text_;
};

} // namespace

trace_tree read_trace(std::istream& input) {
    trace_tree tree;
    std::map<std::string, std::vector<trace_span>> traces;
    for (std::string line; std::getline(input, line);) {
        try {
            for (trace_span& span : read_line(line)) {
                ++tree.spans;
                traces[span.trace_id].push_back(std::move(span));
            }
        } catch (const Poco::Exception&) {
            ++tree.skipped_lines;
        }
    }
    for (std::pair<const std::string, std::vector<trace_span>>& trace : traces) {
        tree.text += "trace " + trace.first + "\n" + tree_printer(std::move(trace.second)).print();
    }
    return tree;
}

} // namespace egretstile::cli
