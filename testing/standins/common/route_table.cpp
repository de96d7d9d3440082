#include "common/route_table.hpp"

#include <Poco/URI.h>

#include <optional>
#include <sstream>
#include <utility>

namespace egretstile::standins {

namespace {

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> segments;
    std::istringstream input(path);
    std::string segment;
    while (std::getline(input, segment, '/')) {
        if (!segment.empty()) {
            segments.push_back(segment);
        }
    }
    return segments;
}

/// Returns the decoded segments that `*` matches, or nothing when the path does not match.
std::optional<std::vector<std::string>> match(const std::vector<std::string>& pattern,
                                              const std::vector<std::string>& path) {
    if (pattern.size() != path.size()) {
        return std::nullopt;
    }
    std::vector<std::string> parameters;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (pattern[i] == "*") {
            std::string decoded;
            Poco::URI::decode(path[i], decoded);
            parameters.push_back(decoded);
        } else if (pattern[i] != path[i]) {
            return std::nullopt;
        }
    }
    return parameters;
}

} // namespace

void route_table::add(const std::string& method, const std::string& pattern, handler handle) {
    routes_.push_back({method, split_path(pattern), std::move(handle)});
}

service_answer route_table::dispatch(service_call call, const std::string& path) const {
    const std::vector<std::string> segments = split_path(path);
    for (const route& candidate : routes_) {
        std::optional<std::vector<std::string>> parameters = match(candidate.segments, segments);
        if (candidate.method != call.method || !parameters) {
            continue;
        }
        call.parameters = std::move(*parameters);
        try {
            return candidate.handle(call);
        } catch (const std::exception& error) {
            return reason_answer(400, "malformed call");
        }
    }
    return reason_answer(404, "no such route");
}

} // namespace egretstile::standins
