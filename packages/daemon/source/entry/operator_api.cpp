#include "entry/operator_api.hpp"

#include "entry/entry_process.hpp"
#include "entry/task_json.hpp"
#include "net/loop_call.hpp"

#include <egretstile/core/plan/plan_edit.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace egretstile::daemon {

namespace {

constexpr milliseconds event_loop_timeout{1000};

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

http_answer json_answer(int status, const Poco::JSON::Object::Ptr& object) {
    return {status, "application/json", {}, to_text(object)};
}

http_answer error_answer(int status, const std::string& reason) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("outcome", "refused");
    object->set("reason", reason);
    return json_answer(status, object);
}

int http_status_of(change_outcome outcome) {
    switch (outcome) {
    case change_outcome::accepted:
    case change_outcome::unchanged:
        return 200;
    case change_outcome::conflict:
        return 409;
    case change_outcome::unavailable:
        return 503;
    case change_outcome::unknown:
        return 504;
    }
    return 504;
}

constexpr std::array<enum_name<change_outcome>, 5> change_outcome_names{
    {{change_outcome::accepted, "accepted"},
     {change_outcome::unchanged, "unchanged"},
     {change_outcome::conflict, "refused"},
     {change_outcome::unknown, "unknown"},
     {change_outcome::unavailable, "refused"}}};

http_answer change_answer(const change_result& result) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("outcome", std::string(name_of(change_outcome_names, result.outcome)));
    object->set("version", result.current.version);
    object->set("revision", result.revision);
    if (result.outcome == change_outcome::conflict) {
        object->set("reason", "another change won: " + result.current.changed_by);
    }
    if (result.outcome == change_outcome::unavailable) {
        object->set("reason", "the key-value service does not answer; nothing was changed");
    }
    return json_answer(http_status_of(result.outcome), object);
}

std::string new_change_id() {
    return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

/// Compares in a time that does not depend on where the tokens differ, so that the time of an
/// answer does not reveal how much of a guessed token is right.
bool equal_tokens(const std::string& left, const std::string& right) {
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t i = 0; i < std::min(left.size(), right.size()); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

Poco::JSON::Object::Ptr vm_json(const fleet_vm& vm, boot_time now) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("vm", vm.view.vm);
    object->set("failure_domain", vm.view.failure_domain);
    object->set("rack", vm.view.rack);
    object->set("upstream", std::string(name_of(wire::upstream_state_names, vm.upstream)));
    object->set("draining", vm.draining);
    object->set("plan_revision", vm.plan_revision);
    object->set("reserved_millicores", vm.view.reserved.cpu_millicores);
    object->set("capacity_millicores", vm.view.capacity.cpu_millicores);
    object->set("runs", vm.view.runs.size());
    object->set("silent_ms",
                std::chrono::duration_cast<milliseconds>(now - vm.last_heartbeat).count());
    return object;
}

} // namespace

http_answer operator_api::handle(const http_request& request) {
    if (request.path == "/healthz") {
        return {200, "text/plain", {}, "ok\n"};
    }
    if (request.path == "/readyz") {
        const bool ready = process_.is_ready();
        return {ready ? 200 : 503, "text/plain", {}, ready ? "ready\n" : "not ready\n"};
    }
    if (request.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", {}, process_.counters().text()};
    }
    if (!is_authorized(request)) {
        return error_answer(401, "the operators' token is missing or wrong");
    }
    return handle_authorized(request);
}

bool operator_api::is_authorized(const http_request& request) const {
    const std::string& token = process_.settings().operator_token;
    return !token.empty() && equal_tokens(request.header("authorization"), "Bearer " + token);
}

http_answer operator_api::handle_authorized(const http_request& request) {
    const std::vector<std::string> path = split_path(request.path);
    const bool is_post = request.method == "POST";
    if (is_post && path.size() == 4 && path[1] == "domains") {
        return set_domain(path[2], path[3]);
    }
    if (is_post && path.size() == 4 && path[1] == "upstreams") {
        return set_drain(path[2], path[3]);
    }
    if (request.path == "/v1/sheet") {
        return is_post ? sheets_.apply(request) : sheets_.show();
    }
    if (path.size() == 4 && path[1] == "tasks" && path[3] == "explain") {
        return explain(path[2]);
    }
    if (request.path == "/v1/status") {
        return status();
    }
    if (request.path == "/v1/plan") {
        return show_plan();
    }
    return error_answer(404, "no such path");
}

http_answer operator_api::edit_plan(const std::string& changed_by, const plan_change& change) {
    const change_source source{new_change_id(), changed_by, wall_now_ms()};
    std::optional<plan_edit_error> edit_error;
    const change_result result =
        process_.plans().change(source.change_id, [&](const plan& current) -> std::optional<plan> {
            edit_error.reset();
            plan_edit_result edited = change(current, source);
            if (const plan_edit_error* const error = std::get_if<plan_edit_error>(&edited)) {
                edit_error = *error;
                return std::nullopt;
            }
            plan& changed = std::get<plan>(edited);
            return changed.version == current.version ? std::nullopt : std::optional<plan>(changed);
        });
    if (edit_error) {
        return error_answer(409, std::string(name_of(plan_edit_error_names, *edit_error)));
    }
    return change_answer(result);
}

http_answer operator_api::set_domain(const std::string& domain, const std::string& state) {
    const std::optional<domain_state> wanted = value_of(domain_state_names, state);
    if (!wanted) {
        return error_answer(400, "the state is in or out");
    }
    const std::set<failure_domain_name> existing_domains = domains_with_vms();
    return edit_plan("domain " + domain + " " + state, [&](const plan& current,
                                                           const change_source& source) {
        plan_edit_result result = set_domain_state(current, domain, *wanted, source);
        // A domain that the plan does not name yet is added by its first change, but only if
        // some VM is in it, so that a mistyped name is refused.
        const bool is_new =
            std::holds_alternative<plan_edit_error>(result) && existing_domains.count(domain) != 0;
        return is_new ? add_domain(current, domain, *wanted, source) : result;
    });
}

std::set<failure_domain_name> operator_api::domains_with_vms() {
    return call_on_loop<std::set<failure_domain_name>>(
               process_.loop(), event_loop_timeout,
               [this](const std::function<void(std::set<failure_domain_name>)>& done) {
                   std::set<failure_domain_name> names;
                   for (const auto& [name, vm] : process_.vm_fleet().vms()) {
                       names.insert(vm.view.failure_domain);
                   }
                   done(std::move(names));
               })
        .value_or(std::set<failure_domain_name>());
}

http_answer operator_api::set_drain(const std::string& vm, const std::string& action) {
    if (action != "drain" && action != "undrain") {
        return error_answer(400, "the action is drain or undrain");
    }
    const bool drain = action == "drain";
    return edit_plan(action + " " + vm, [&](const plan& current, const change_source& source) {
        return drain ? drain_vm(current, vm, source) : undrain_vm(current, vm, source);
    });
}

http_answer operator_api::status() {
    const std::optional<std::string> text = call_on_loop<std::string>(
        process_.loop(), event_loop_timeout, [this](const std::function<void(std::string)>& done) {
            const boot_time now = boot_now();
            Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
            Poco::JSON::Array::Ptr vms = new Poco::JSON::Array;
            revision_number oldest = process_.plans().revision_tracker().revision();
            for (const auto& [name, vm] : process_.vm_fleet().vms()) {
                vms->add(vm_json(vm, now));
                oldest = std::min(oldest, vm.plan_revision);
            }
            std::size_t queued = 0;
            process_.tasks().for_each_owned(
                [&queued](const shard_host& shard) { queued += shard.ledger().queued().size(); });
            object->set("entry", process_.id());
            object->set("ready", process_.is_ready());
            object->set("entries", process_.directory().live().size());
            object->set("plan_revision", process_.plans().revision_tracker().revision());
            object->set("plan_version", process_.plans().current().version);
            object->set("oldest_plan_revision", oldest);
            object->set("owned_shards", process_.tasks().owned_shards());
            object->set("queued_here", queued);
            object->set("open_requests", process_.requests().open_requests());
            object->set("vms", vms);
            done(to_text(object));
        });
    if (!text) {
        return error_answer(503, "the entry is busy");
    }
    return {200, "application/json", {}, *text};
}

http_answer operator_api::explain(const std::string& key) {
    const boot_time deadline = boot_now() + event_loop_timeout;
    const std::optional<task_answer> answer = call_on_loop<task_answer>(
        process_.loop(), 2 * event_loop_timeout,
        [this, key, deadline](const std::function<void(task_answer)>& done) {
            process_.query_task(key, deadline, done);
        });
    if (!answer || answer->outcome == wire::task_call_outcome::unknown) {
        return error_answer(503, "the owner of the task's shard does not answer");
    }
    if (answer->outcome == wire::task_call_outcome::not_found) {
        return error_answer(404, "no entry knows this task");
    }
    const task_record& record = answer->record;
    Poco::JSON::Object::Ptr object = to_json(record);
    object->set("shard", shard_of_task(key, process_.settings().shard_count));
    object->set("need_millicores", record.spec.need.cpu_millicores);
    object->set("need_memory_mb", record.spec.need.memory_mb);
    object->set("need_accelerators", record.spec.need.accelerators);
    object->set("has_checkpoint", !record.checkpoint.empty());
    if (record.state == task_state::queued) {
        object->set("waits_because", wait_reason(record.spec));
    }
    return json_answer(200, object);
}

std::string operator_api::wait_reason(const task_spec& spec) {
    return call_on_loop<std::string>(
               process_.loop(), event_loop_timeout,
               [this, spec](const std::function<void(std::string)>& done) {
                   done(process_.task_scheduler().wait_reason(spec, boot_now()));
               })
        .value_or("the entry is busy");
}

http_answer operator_api::show_plan() {
    const std::optional<plan> current = call_on_loop<plan>(
        process_.loop(), event_loop_timeout,
        [this](const std::function<void(plan)>& done) { done(process_.plans().current()); });
    if (!current) {
        return error_answer(503, "the entry is busy");
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    Poco::JSON::Array::Ptr domains = new Poco::JSON::Array;
    for (const domain_plan& row : current->domains) {
        Poco::JSON::Object::Ptr domain = new Poco::JSON::Object;
        domain->set("name", row.name);
        domain->set("state", std::string(name_of(domain_state_names, row.state)));
        domains->add(domain);
    }
    object->set("version", current->version);
    object->set("changed_by", current->changed_by);
    object->set("domains", domains);
    object->set("rows", current->rows.size());
    return json_answer(200, object);
}

} // namespace egretstile::daemon
