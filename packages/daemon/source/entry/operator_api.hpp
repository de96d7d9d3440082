#pragma once

#include "entry/plan_keeper.hpp"
#include "net/http_service.hpp"

#include <string>

namespace egretstile::daemon {

class entry_process;

/// The operators' HTTP interface, behind a token: plan, domains, drains, status. Thread-safe.
class operator_api {
public:
    explicit operator_api(entry_process& process)
        : process_(process) {}

    http_answer handle(const http_request& request);

private:
    bool is_allowed(const http_request& request) const;
    http_answer handle_allowed(const http_request& request);
    http_answer set_domain(const std::string& domain, const std::string& state);
    http_answer set_drain(const std::string& vm, const std::string& action);
    http_answer status();
    http_answer show_plan();

    entry_process& process_;
};

} // namespace egretstile::daemon
