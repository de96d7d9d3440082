#include "vm_event.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <fstream>

namespace egretstile::harness {

namespace {

using Poco::JSON::Object;

resources amounts_at(const Object& object, const std::string& field) {
    const Object::Ptr amounts = object.getObject(field);
    if (amounts.isNull()) {
        return {};
    }
    return {amounts->getValue<std::int64_t>("cpu_millicores"),
            amounts->getValue<std::int64_t>("memory_mb"),
            amounts->getValue<std::int64_t>("accelerators")};
}

vm_event parse_event(const std::string& line) {
    Poco::JSON::Parser parser;
    const Object::Ptr object = parser.parse(line).extract<Object::Ptr>();
    vm_event event;
    event.kind = value_of(vm_event_kind_names, object->getValue<std::string>("event")).value();
    event.at = boot_time(std::chrono::nanoseconds(object->getValue<std::int64_t>("at_ns")));
    event.vm = object->getValue<std::string>("vm");
    event.domain = object->getValue<std::string>("domain");
    event.run.key = object->optValue<std::string>("key", "");
    event.run.attempt = object->optValue<attempt_number>("attempt", 0);
    event.phase = object->optValue<std::string>("phase", "");
    event.reason = object->optValue<std::string>("reason", "");
    event.checkpoint = object->optValue<std::string>("checkpoint", "");
    event.request_id = object->optValue<std::string>("id", "");
    event.request_label = object->optValue<std::string>("label", "");
    event.amounts = amounts_at(*object, event.kind == vm_event_kind::boot ? "capacity" : "need");
    return event;
}

void read_file(const std::string& path, std::vector<vm_event>& events) {
    std::ifstream input(path);
    if (!input) {
        throw std::runtime_error("cannot read " + path);
    }
    std::string line;
    while (std::getline(input, line) && !input.eof()) {
        events.push_back(parse_event(line));
    }
}

} // namespace

std::vector<vm_event> read_events(const std::vector<std::string>& log_files) {
    std::vector<vm_event> events;
    for (const std::string& path : log_files) {
        read_file(path, events);
    }
    // The stable sort keeps events of one VM with equal times in the order in which it wrote them.
    std::stable_sort(events.begin(), events.end(), [](const vm_event& left, const vm_event& right) {
        return left.at < right.at;
    });
    return events;
}

} // namespace egretstile::harness
