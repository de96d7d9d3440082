#pragma once

#include "common/service_call.hpp"

#include <functional>
#include <string>
#include <vector>

namespace egretstile::standins {

/// Maps method and path to a handler. Handlers run in the thread of their connection and must be
/// thread-safe. Complete before the service starts; then read-only and thread-safe.
class route_table {
public:
    using handler = std::function<service_answer(const service_call&)>;

    /// `pattern` is a path whose segments are literal or `*` (any one segment).
    void add(const std::string& method, const std::string& pattern, handler handle);

    /// Calls the first matching handler with the path's parameters. 404 when there is none, 400
    /// when it throws.
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
