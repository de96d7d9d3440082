#include "vm/worker_service.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <stdexcept>
#include <utility>

namespace egretstile::standins {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string to_json(const Object& object) {
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

Object::Ptr parse(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

boot_time time_at(const Object& object, const std::string& field) {
    return boot_time(std::chrono::nanoseconds(object.getValue<std::int64_t>(field)));
}

resources resources_at(const Object& object, const std::string& field) {
    const Object::Ptr amounts = object.getObject(field);
    return {amounts->getValue<std::int64_t>("cpu_millicores"),
            amounts->getValue<std::int64_t>("memory_mb"),
            amounts->getValue<std::int64_t>("accelerators")};
}

Object object_of(const resources& amounts) {
    Object object;
    object.set("cpu_millicores", amounts.cpu_millicores);
    object.set("memory_mb", amounts.memory_mb);
    object.set("accelerators", amounts.accelerators);
    return object;
}

task_run run_at(const Object& object) {
    return {object.getValue<std::string>("key"), object.getValue<attempt_number>("attempt")};
}

worker_start parse_start(const std::string& text) {
    const Object::Ptr object = parse(text);
    const Object::Ptr spec = object->getObject("spec");
    worker_start start;
    start.run = run_at(*object);
    start.shard = object->getValue<shard_number>("shard");
    start.spec.key = start.run.key;
    start.spec.kind = value_of(task_kind_names, spec->getValue<std::string>("kind")).value();
    start.spec.team = spec->getValue<std::string>("team");
    start.spec.need = resources_at(*spec, "need");
    start.spec.payload = spec->getValue<std::string>("payload");
    start.checkpoint = object->getValue<std::string>("checkpoint");
    start.lease_until = time_at(*object, "lease_until");
    start.start_before = time_at(*object, "start_before");
    start.boot = object->optValue<std::string>("boot", "");
    return start;
}

std::vector<worker_renewal> parse_renewals(const std::string& text) {
    const Array::Ptr list = parse(text)->getArray("renewals");
    std::vector<worker_renewal> renewals;
    for (unsigned int i = 0; i < list->size(); ++i) {
        const Object::Ptr row = list->getObject(i);
        renewals.push_back({run_at(*row), time_at(*row, "lease_until")});
    }
    return renewals;
}

Object object_of(const worker_run& reported) {
    Object row;
    row.set("key", reported.run.key);
    row.set("attempt", reported.run.attempt);
    row.set("shard", reported.shard);
    row.set("team", reported.team);
    row.set("phase", std::string(name_of(run_phase_names, reported.phase)));
    row.set("kind", std::string(name_of(task_kind_names, reported.kind)));
    row.set("need", object_of(reported.need));
    row.set("used", object_of(reported.used));
    row.set("lease_until", reported.lease_until.time_since_epoch().count());
    row.set("checkpoint", reported.checkpoint);
    row.set("detail", reported.detail);
    return row;
}

service_answer status_answer(const worker_status& status) {
    Object object;
    object.set("boot", status.boot);
    object.set("rack", status.rack);
    object.set("capacity", object_of(status.capacity));
    object.set("incarnation", status.incarnation);
    Array tasks;
    for (const worker_run& reported : status.runs) {
        tasks.add(object_of(reported));
    }
    object.set("tasks", tasks);
    service_answer answer;
    answer.body = to_json(object);
    return answer;
}

service_answer usage_answer(const worker_status& status) {
    resources sum;
    Array tasks;
    for (const worker_run& reported : status.runs) {
        sum = sum + reported.used;
        Object row;
        row.set("key", reported.run.key);
        row.set("attempt", reported.run.attempt);
        row.set("used", object_of(reported.used));
        tasks.add(row);
    }
    Object object;
    object.set("used", object_of(sum));
    object.set("tasks", tasks);
    service_answer answer;
    answer.body = to_json(object);
    return answer;
}

service_answer to_answer(const run_answer& result) {
    Object object;
    object.set(result.status == 200 ? "checkpoint" : "reason", result.text);
    service_answer answer;
    answer.status = result.status;
    answer.body = to_json(object);
    return answer;
}

task_run parse_run_id(const std::string& id) {
    const std::size_t colon = id.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("run id must be KEY:ATTEMPT");
    }
    return {id.substr(0, colon), static_cast<attempt_number>(std::stoul(id.substr(colon + 1)))};
}

} // namespace

worker_service::worker_service(run_table& runs, const fault_injector& fault)
    : runs_(runs)
    , fault_(fault) {
    add_worker_route("GET", "/v1/worker", [this](const service_call& /*call*/) {
        return status_answer(runs_.status(boot_now()));
    });
    add_worker_route("GET", "/v1/usage", [this](const service_call& /*call*/) {
        return usage_answer(runs_.status(boot_now()));
    });
    add_worker_route("POST", "/v1/tasks", [this](const service_call& call) {
        return to_answer(runs_.start(parse_start(call.body), boot_now()));
    });
    add_worker_route("POST", "/v1/renew", [this](const service_call& call) {
        return to_answer(runs_.renew(parse_renewals(call.body), boot_now()));
    });
    add_run_routes();
}

void worker_service::add_run_routes() {
    add_run_route("checkpoint", [this](const task_run& run, const service_call& /*call*/) {
        return runs_.checkpoint(run, boot_now());
    });
    add_run_route("suspend", [this](const task_run& run, const service_call& /*call*/) {
        return runs_.suspend(run, boot_now());
    });
    add_run_route("resume", [this](const task_run& run, const service_call& call) {
        return runs_.resume(run, time_at(*parse(call.body), "lease_until"), boot_now());
    });
    add_run_route("throttle", [this](const task_run& run, const service_call& call) {
        const auto percent = parse(call.body)->getValue<std::uint32_t>("cpu_percent");
        return runs_.throttle(run, percent, boot_now());
    });
    add_run_route("stop", [this](const task_run& run, const service_call& call) {
        return runs_.stop(run, parse(call.body)->getValue<bool>("take_checkpoint"), boot_now());
    });
    add_run_route("forget", [this](const task_run& run, const service_call& /*call*/) {
        return runs_.forget(run, boot_now());
    });
}

void worker_service::add_worker_route(const std::string& method, const std::string& pattern,
                                      route_table::handler handle) {
    routes_.add(method, pattern, [this, handle = std::move(handle)](const service_call& call) {
        fault_.delay_call();
        const fault_mode mode = fault_.mode();
        if (mode == fault_mode::worker_down || mode == fault_mode::down) {
            return reason_answer(503, "worker down");
        }
        // The lock ensures that no call of a later incarnation is accepted between this check and
        // the call itself.
        const std::lock_guard lock(call_mutex_);
        if (!runs_.accept_incarnation(std::stoull(call.query.at("incarnation")))) {
            return reason_answer(409, "lower incarnation");
        }
        service_answer answer = handle(call);
        if (mode == fault_mode::lose_answers) {
            answer.delivered = delivery::none;
        } else if (mode == fault_mode::truncate) {
            answer.delivered = delivery::truncated;
        }
        return answer;
    });
}

void worker_service::add_run_route(const std::string& action, run_operation operation) {
    add_worker_route("POST", "/v1/tasks/*/" + action,
                     [operation = std::move(operation)](const service_call& call) {
                         return to_answer(operation(parse_run_id(call.parameters.at(0)), call));
                     });
}

} // namespace egretstile::standins
