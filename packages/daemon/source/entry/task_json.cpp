#include "entry/task_json.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <cstdint>
#include <optional>
#include <sstream>

namespace egretstile::daemon {

namespace {

constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_payload_bytes = 4096;
constexpr std::int64_t max_amount = 1'000'000'000;

/// Reads the fields of one object and remembers the first error.
class field_reader {
public:
    explicit field_reader(Poco::JSON::Object::Ptr object)
        : object_(std::move(object)) {}

    std::string text(const std::string& name, const std::string& fallback) {
        // POCO would convert an object or a number to text.
        if (object_->has(name) && !object_->get(name).isString()) {
            fail(name + " has the wrong type");
            return fallback;
        }
        return value<std::string>(name, fallback);
    }

    bool flag(const std::string& name, bool fallback) { return value<bool>(name, fallback); }

    std::int64_t amount(const std::string& name) {
        const std::int64_t result = value<std::int64_t>(name, 0);
        if (result < 0 || result > max_amount) {
            fail(name + " must be between 0 and " + std::to_string(max_amount));
        }
        return result;
    }

    void fail(const std::string& error) {
        if (error_.empty()) {
            error_ = error;
        }
    }

    const std::string& error() const { return error_; }

private:
    template <typename Value>
    Value value(const std::string& name, const Value& fallback) {
        try {
            return object_->has(name) ? object_->getValue<Value>(name) : fallback;
        } catch (const Poco::Exception&) {
            fail(name + " has the wrong type");
            return fallback;
        }
    }

    Poco::JSON::Object::Ptr object_;
    std::string error_;
};

template <typename Enum, std::size_t Size>
Enum read_enum(field_reader& fields, const std::string& name,
               const std::array<enum_name<Enum>, Size>& names, Enum fallback) {
    const std::string text = fields.text(name, std::string(name_of(names, fallback)));
    const std::optional<Enum> value = value_of(names, text);
    if (!value) {
        fields.fail(name + " has no value \"" + text + "\"");
        return fallback;
    }
    return *value;
}

std::variant<task_spec, std::string> read_fields(const Poco::JSON::Object::Ptr& object) {
    field_reader fields(object);
    task_spec spec;
    spec.key = fields.text("key", "");
    spec.kind = read_enum(fields, "kind", task_kind_names, spec.kind);
    spec.priority = read_enum(fields, "priority", task_priority_names, spec.priority);
    spec.team = fields.text("team", "");
    spec.need.cpu_millicores = fields.amount("cpu_millicores");
    spec.need.memory_mb = fields.amount("memory_mb");
    spec.need.accelerators = fields.amount("accelerators");
    spec.idempotent = fields.flag("idempotent", false);
    spec.declared_run_time = milliseconds(fields.amount("run_time_ms"));
    spec.payload = fields.text("payload", "");
    if (spec.key.empty() || spec.key.size() > max_key_bytes) {
        fields.fail("key must have 1 to " + std::to_string(max_key_bytes) + " bytes");
    }
    if (spec.payload.size() > max_payload_bytes) {
        fields.fail("payload must have at most " + std::to_string(max_payload_bytes) + " bytes");
    }
    if (!fields.error().empty()) {
        return fields.error();
    }
    return spec;
}

} // namespace

std::variant<task_spec, std::string> parse_task_spec(const std::string& body) {
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var parsed = parser.parse(body);
        if (parsed.type() != typeid(Poco::JSON::Object::Ptr)) {
            return "the body is not a JSON object";
        }
        return read_fields(parsed.extract<Poco::JSON::Object::Ptr>());
    } catch (const Poco::Exception&) {
        return "the body is not JSON";
    }
}

Poco::JSON::Object::Ptr to_json(const task_record& record) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("key", record.spec.key);
    object->set("kind", std::string(name_of(task_kind_names, record.spec.kind)));
    object->set("team", record.spec.team);
    object->set("state", std::string(name_of(task_state_names, record.state)));
    object->set("final", is_final(record.state));
    object->set("attempt", record.attempt);
    object->set("vm", record.vm);
    object->set("failures", record.failures);
    object->set("evictions", record.evictions);
    object->set("result", record.outcome);
    object->set("accepted_at_ms", record.accepted_at_ms);
    return object;
}

std::string to_text(const Poco::JSON::Object::Ptr& object) {
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

} // namespace egretstile::daemon
