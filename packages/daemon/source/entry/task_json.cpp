#include "entry/task_json.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <cstdint>
#include <optional>
#include <set>
#include <sstream>
#include <type_traits>

namespace egretstile::daemon {

namespace {

constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_payload_bytes = 4096;
constexpr std::int64_t max_amount = 1'000'000'000;

/// Reads the fields of one JSON object and stores the first error.
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

    /// Returns an empty object when there is no such field.
    Poco::JSON::Object::Ptr object(const std::string& name) {
        requested_names_.insert(name);
        if (!object_->has(name)) {
            return new Poco::JSON::Object;
        }
        Poco::JSON::Object::Ptr value = object_->getObject(name);
        if (value.isNull()) {
            fail(name + " is not an object");
            return new Poco::JSON::Object;
        }
        return value;
    }

    std::int64_t amount(const std::string& name) {
        const std::int64_t result = value<std::int64_t>(name, 0);
        if (result < 0 || result > max_amount) {
            fail(name + " must be between 0 and " + std::to_string(max_amount));
        }
        return result;
    }

    /// Fails for a field that was not read, because a mistyped name would otherwise silently leave
    /// a field at its default.
    void reject_unknown() {
        for (const std::string& name : object_->getNames()) {
            if (requested_names_.count(name) == 0) {
                fail("there is no field " + name);
            }
        }
    }

    void fail(const std::string& error) {
        if (error_.empty()) {
            error_ = error;
        }
    }

    const std::string& error() const { return error_; }

private:
    /// Checks the type, because POCO would convert a number or an array to text.
    template <typename Value>
    static bool has_type(const Poco::Dynamic::Var& value) {
        if constexpr (std::is_same_v<Value, std::string>) {
            return value.isString();
        } else if constexpr (std::is_same_v<Value, bool>) {
            return value.isBoolean();
        } else {
            return value.isInteger() && !value.isBoolean();
        }
    }

    template <typename Value>
    Value value(const std::string& name, const Value& fallback) {
        requested_names_.insert(name);
        if (!object_->has(name)) {
            return fallback;
        }
        const Poco::Dynamic::Var field = object_->get(name);
        try {
            if (has_type<Value>(field)) {
                return field.convert<Value>();
            }
        } catch (const Poco::Exception&) {
            // The number is out of the range of its type; reported below.
        }
        fail(name + " has the wrong type or is out of range");
        return fallback;
    }

    Poco::JSON::Object::Ptr object_;
    std::set<std::string> requested_names_;
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

resources read_need(field_reader& fields) {
    field_reader need(fields.object("need"));
    const resources amounts{need.amount("cpu_millicores"), need.amount("memory_mb"),
                            need.amount("accelerators")};
    need.reject_unknown();
    if (!need.error().empty()) {
        fields.fail("need: " + need.error());
    }
    return amounts;
}

std::variant<task_spec, std::string> read_fields(const Poco::JSON::Object::Ptr& object) {
    field_reader fields(object);
    task_spec spec;
    spec.key = fields.text("key", "");
    spec.kind = read_enum(fields, "kind", task_kind_names, spec.kind);
    spec.priority = read_enum(fields, "priority", task_priority_names, spec.priority);
    spec.team = fields.text("team", "");
    spec.need = read_need(fields);
    spec.idempotent = fields.flag("idempotent", false);
    spec.declared_run_time = milliseconds(fields.amount("declared_run_time_ms"));
    spec.payload = fields.text("payload", "");
    if (spec.key.empty() || spec.key.size() > max_key_bytes) {
        fields.fail("key must have 1 to " + std::to_string(max_key_bytes) + " bytes");
    }
    if (spec.payload.size() > max_payload_bytes) {
        fields.fail("payload must have at most " + std::to_string(max_payload_bytes) + " bytes");
    }
    fields.reject_unknown();
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
