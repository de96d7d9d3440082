#pragma once

#include "common/service_call.hpp"

#include <functional>
#include <string>
#include <vector>

namespace egretstile::standins {

/// Maps method and path to a handler. Handlers run in the thread of their connection and must be
/// thread-safe. All routes must be added before the service starts; from then on the table is
/// read-only and thread-safe.
class route_table {
public:
    using handler = std::function<service_answer(const service_call&)>;

    /// `pattern` is a path in which the segment `*` matches any one segment.
    void add(const std::string& method, const std::string& pattern, handler handle);

    /// Calls the first matching handler with the path's parameters. Answers 404 when no route
    /// matches and 400 when the handler throws.
    service_answer dispatch(service_call call, const std::string& path) const;

private:
    struct route {
        std::string method;
        std::vector<std::string> segments;
        handler handle;
    };

    std::vector<route> routes_;
};

} // namespace egretstile::standins
