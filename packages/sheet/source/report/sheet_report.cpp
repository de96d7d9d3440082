#include <egretstile/sheet/report/sheet_report.hpp>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace egretstile {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object to_object(const sheet_error& error) {
    Object object;
    object.set("row", static_cast<Poco::UInt64>(error.row));
    object.set("column", error.column);
    object.set("value", error.value);
    object.set("message", error.message);
    return object;
}

Object to_object(const sheet_conflict& conflict) {
    Object object;
    object.set("kind", std::string(name_of(sheet_conflict_kind_names, conflict.kind)));
    object.set("table", std::string(name_of(plan_table_names, conflict.table)));
    object.set("name", conflict.name);
    object.set("changed_in", static_cast<Poco::UInt64>(conflict.changed_in));
    object.set("changed_by", conflict.changed_by);
    return object;
}

Object to_object(const field_difference& difference) {
    Object object;
    object.set("field", difference.field);
    object.set("before", difference.before);
    object.set("after", difference.after);
    return object;
}

template <typename Value>
Array to_array(const std::vector<Value>& values);

Object to_object(const plan_difference& difference) {
    Object object;
    object.set("table", std::string(name_of(plan_table_names, difference.table)));
    object.set("kind", std::string(name_of(difference_kind_names, difference.kind)));
    object.set("name", difference.name);
    object.set("fields", to_array(difference.fields));
    return object;
}

template <typename Value>
Array to_array(const std::vector<Value>& values) {
    Array array;
    for (const Value& value : values) {
        array.add(to_object(value));
    }
    return array;
}

std::string text(const Object& object, const char* key) {
    return object.getValue<std::string>(key);
}

std::uint64_t number(const Object& object, const char* key) {
    return object.getValue<Poco::UInt64>(key);
}

template <typename Enum, std::size_t Size>
Enum name(const Object& object, const char* key, const std::array<enum_name<Enum>, Size>& table) {
    const std::optional<Enum> value = value_of(table, text(object, key));
    if (!value) {
        throw Poco::DataFormatException(key);
    }
    return *value;
}

void read(const Object& object, sheet_error& error) {
    error = {number(object, "row"), text(object, "column"), text(object, "value"),
             text(object, "message")};
}

void read(const Object& object, sheet_conflict& conflict) {
    conflict = {name(object, "kind", sheet_conflict_kind_names),
                name(object, "table", plan_table_names), text(object, "name"),
                number(object, "changed_in"), text(object, "changed_by")};
}

void read(const Object& object, field_difference& difference) {
    difference = {text(object, "field"), text(object, "before"), text(object, "after")};
}

template <typename Value>
std::vector<Value> read_array(const Object& object, const char* key);

void read(const Object& object, plan_difference& difference) {
    difference = {name(object, "table", plan_table_names),
                  name(object, "kind", difference_kind_names), text(object, "name"),
                  read_array<field_difference>(object, "fields")};
}

template <typename Value>
std::vector<Value> read_array(const Object& object, const char* key) {
    std::vector<Value> values;
    const Array::Ptr array = object.getArray(key);
    if (array.isNull()) {
        return values;
    }
    values.resize(array->size());
    for (std::size_t i = 0; i < values.size(); ++i) {
        const Object::Ptr element = array->getObject(static_cast<unsigned>(i));
        if (element.isNull()) {
            throw Poco::DataFormatException(key);
        }
        read(*element, values[i]);
    }
    return values;
}

sheet_report read_report(const Object& object) {
    sheet_report report;
    report.outcome = name(object, "outcome", sheet_outcome_names);
    report.version = number(object, "version");
    report.errors = read_array<sheet_error>(object, "errors");
    report.conflicts = read_array<sheet_conflict>(object, "conflicts");
    report.removals = object.optValue<Poco::UInt64>("removals", 0);
    report.present = object.optValue<Poco::UInt64>("present", 0);
    report.differences = read_array<plan_difference>(object, "differences");
    return report;
}

} // namespace

sheet_report refused_report(const sheet_refusal& refusal, std::uint64_t version) {
    sheet_report report;
    report.outcome = sheet_outcome::refused;
    report.version = version;
    report.conflicts = refusal.conflicts;
    report.removals = refusal.removals;
    report.present = refusal.present;
    if (refusal.base_in_future) {
        report.errors.push_back({0, "plan_version", "",
                                 "must be at most the plan's version, " + std::to_string(version) +
                                     "; the sheet belongs to another deployment"});
    }
    return report;
}

std::string to_json(const sheet_report& report) {
    Object object;
    object.set("outcome", std::string(name_of(sheet_outcome_names, report.outcome)));
    object.set("version", static_cast<Poco::UInt64>(report.version));
    object.set("errors", to_array(report.errors));
    object.set("conflicts", to_array(report.conflicts));
    object.set("removals", static_cast<Poco::UInt64>(report.removals));
    object.set("present", static_cast<Poco::UInt64>(report.present));
    object.set("differences", to_array(report.differences));
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

std::optional<sheet_report> parse_sheet_report(const std::string& json) {
    try {
        Poco::JSON::Parser parser;
        const Poco::Dynamic::Var value = parser.parse(json);
        return read_report(*value.extract<Object::Ptr>());
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace egretstile
