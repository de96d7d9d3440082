#include "worker/worker_json.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cstdint>
#include <sstream>

namespace egretstile::infrastructure {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string to_text(const Object& object) {
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

Object to_json(const resources& amounts) {
    Object object;
    object.set("cpu_millicores", amounts.cpu_millicores);
    object.set("memory_mb", amounts.memory_mb);
    object.set("accelerators", amounts.accelerators);
    return object;
}

resources resources_from(const Object::Ptr& object) {
    return {object->getValue<std::int64_t>("cpu_millicores"),
            object->getValue<std::int64_t>("memory_mb"),
            object->getValue<std::int64_t>("accelerators")};
}

boot_time time_from(const Object& object, const std::string& field) {
    return boot_time(std::chrono::nanoseconds(object.getValue<std::int64_t>(field)));
}

std::int64_t to_json(boot_time time) {
    return time.time_since_epoch().count();
}

void set_run(Object& object, const task_run& run) {
    object.set("key", run.key);
    object.set("attempt", run.attempt);
}

Object to_json(const task_spec& spec) {
    Object object;
    object.set("kind", std::string(name_of(task_kind_names, spec.kind)));
    object.set("priority", std::string(name_of(task_priority_names, spec.priority)));
    object.set("team", spec.team);
    object.set("need", to_json(spec.need));
    object.set("idempotent", spec.idempotent);
    object.set("declared_run_time_ms", static_cast<std::int64_t>(spec.declared_run_time.count()));
    object.set("payload", spec.payload);
    return object;
}

worker_run run_from(const Object& object) {
    worker_run result;
    result.run.key = object.getValue<std::string>("key");
    result.run.attempt = object.getValue<attempt_number>("attempt");
    result.shard = object.getValue<shard_number>("shard");
    result.team = object.getValue<std::string>("team");
    // `value` throws for a name that is not in the table, like the readers of the other fields do
    // for a malformed field.
    result.phase = value_of(run_phase_names, object.getValue<std::string>("phase")).value();
    result.kind = value_of(task_kind_names, object.getValue<std::string>("kind")).value();
    result.need = resources_from(object.getObject("need"));
    result.used = resources_from(object.getObject("used"));
    result.lease_until = time_from(object, "lease_until");
    result.checkpoint = object.getValue<std::string>("checkpoint");
    result.detail = object.getValue<std::string>("detail");
    return result;
}

worker_status status_from(const Object& object) {
    worker_status status;
    status.boot = object.getValue<std::string>("boot");
    status.rack = object.getValue<std::string>("rack");
    status.capacity = resources_from(object.getObject("capacity"));
    status.incarnation = object.getValue<incarnation_number>("incarnation");
    const Array::Ptr tasks = object.getArray("tasks");
    for (std::size_t i = 0; i < tasks->size(); ++i) {
        status.runs.push_back(run_from(*tasks->getObject(static_cast<unsigned int>(i))));
    }
    return status;
}

Object::Ptr parse_object(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

} // namespace

std::string start_to_json(const worker_start& start) {
    Object object;
    set_run(object, start.run);
    object.set("shard", start.shard);
    object.set("spec", to_json(start.spec));
    object.set("checkpoint", start.checkpoint);
    object.set("lease_until", to_json(start.lease_until));
    object.set("start_before", to_json(start.start_before));
    object.set("boot", start.boot);
    return to_text(object);
}

std::string renewals_to_json(const std::vector<worker_renewal>& renewals) {
    Array list;
    for (const worker_renewal& renewal : renewals) {
        Object row;
        set_run(row, renewal.run);
        row.set("lease_until", to_json(renewal.lease_until));
        list.add(row);
    }
    Object object;
    object.set("renewals", list);
    return to_text(object);
}

std::string lease_to_json(boot_time lease_until) {
    Object object;
    object.set("lease_until", to_json(lease_until));
    return to_text(object);
}

std::optional<worker_status> status_from_json(const std::string& text) {
    try {
        return status_from(*parse_object(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> checkpoint_from_json(const std::string& text) {
    try {
        return parse_object(text)->getValue<std::string>("checkpoint");
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace egretstile::infrastructure
