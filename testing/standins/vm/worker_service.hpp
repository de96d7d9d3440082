#pragma once

#include "common/fault_injector.hpp"
#include "common/route_table.hpp"
#include "vm/run_table.hpp"

#include <functional>
#include <mutex>
#include <string>

namespace egretstile::standins {

/// HTTP interface of the worker (docs/design.md, section 6; fields as in
/// egretstile/infrastructure/worker/http_worker.hpp). Thread-safe.
class worker_service {
public:
    /// Both references must outlive the service.
    worker_service(run_table& runs, const fault_injector& fault);

    /// Further routes may be added before the service starts.
    route_table& routes() { return routes_; }

private:
    using run_operation = std::function<run_answer(const task_run&, const service_call&)>;

    void add_run_routes();
    /// Adds a route that applies the configured fault and refuses calls of lower incarnations.
    void add_worker_route(const std::string& method, const std::string& pattern,
                          route_table::handler handle);
    void add_run_route(const std::string& action, run_operation operation);

    run_table& runs_;
    const fault_injector& fault_;
    std::mutex call_mutex_;
    route_table routes_;
};

} // namespace egretstile::standins
