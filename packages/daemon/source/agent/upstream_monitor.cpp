#include "agent/upstream_monitor.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <limits>

namespace egretstile::daemon {

namespace {

constexpr std::uint32_t max_slots = 4096;
constexpr std::uint32_t max_connections = 65536;

std::variant<announcement, std::string> read_fields(const Poco::JSON::Object::Ptr& object) {
    announcement value;
    value.service = object->getValue<std::string>("service");
    value.address.host = object->getValue<std::string>("host");
    value.address.port = object->getValue<std::uint16_t>("port");
    value.slots = object->getValue<std::uint32_t>("slots");
    value.connections = object->getValue<std::uint32_t>("connections");
    const std::optional<wire::upstream_state> state =
        value_of(wire::upstream_state_names, object->getValue<std::string>("state"));
    if (!state) {
        return "state is ready or leaving";
    }
    if (value.slots == 0 || value.slots > max_slots || value.connections < value.slots ||
        value.connections > max_connections) {
        return "slots and connections are out of range";
    }
    value.state = *state;
    return value;
}

} // namespace

std::variant<announcement, std::string> parse_announcement(const std::string& body) {
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var parsed = parser.parse(body);
        if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
            return "the body is not a JSON object";
        }
        return read_fields(parsed.extract<Poco::JSON::Object::Ptr>());
    } catch (const Poco::Exception&) {
        return "a field is missing or has the wrong type";
    }
}

void upstream_monitor::update(const announcement& value, boot_time now) {
    last_announcement_ = value;
    updated_at_ = now;
}

wire::upstream_state upstream_monitor::state(boot_time now) const {
    if (!last_announcement_ || now - updated_at_ > lifetime_) {
        return wire::upstream_state::absent;
    }
    return last_announcement_->state;
}

} // namespace egretstile::daemon
