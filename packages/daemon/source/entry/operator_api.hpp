#pragma once

#include "entry/plan_client.hpp"
#include "entry/sheet_api.hpp"
#include "net/http_service.hpp"

#include <egretstile/core/plan/plan_edit.hpp>
#include <egretstile/core/task/task.hpp>

#include <functional>
#include <set>
#include <string>

namespace egretstile::daemon {

class entry_process;

/// HTTP interface for operators: plan, failure domains, drains, explanations and status. All paths
/// but `/healthz`, `/readyz` and `/metrics` require the operators' token. Thread-safe.
class operator_api {
public:
    explicit operator_api(entry_process& process)
        : process_(process)
        , sheets_(process) {}

    http_answer handle(const http_request& request);

private:
    bool is_authorized(const http_request& request) const;
    http_answer handle_authorized(const http_request& request);
    using plan_change = std::function<plan_edit_result(const plan&, const change_source&)>;

    http_answer edit_plan(const std::string& changed_by, const plan_change& change);
    std::set<failure_domain_name> domains_with_vms();
    http_answer explain(const std::string& key);
    std::string wait_reason(const task_spec& spec);
    http_answer set_domain(const std::string& domain, const std::string& state);
    http_answer set_drain(const std::string& vm, const std::string& action);
    http_answer status();
    http_answer show_plan();

    entry_process& process_;
    sheet_api sheets_;
};

} // namespace egretstile::daemon
