#include "command/response_formatter.hpp"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace egretstile::cli {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;

std::string describe(const sheet_conflict& conflict) {
    std::string prefix =
        std::string(name_of(plan_table_names, conflict.table)) + " " + conflict.name + ": ";
    const std::string author = conflict.changed_by.empty() ? "" : " by " + conflict.changed_by;
    const std::string version = "version " + std::to_string(conflict.changed_in);
    switch (conflict.kind) {
    case sheet_conflict_kind::changed_since:
        return prefix + "was changed in " + version + author + ", after the sheet was exported";
    case sheet_conflict_kind::removed_since:
        return prefix + "was removed in " + version + author + ", after the sheet was exported";
    case sheet_conflict_kind::base_too_old:
        return prefix + "may have been removed up to " + version +
               "; export the sheet again and repeat the change";
    }
    return prefix;
}

std::string describe(const plan_difference& difference) {
    std::string line = std::string(name_of(difference_kind_names, difference.kind)) + " " +
                       std::string(name_of(plan_table_names, difference.table)) + " " +
                       difference.name;
    for (const field_difference& field : difference.fields) {
        line += (&field == &difference.fields.front() ? ": " : ", ") + field.field + " " +
                (field.before.empty() ? "(empty)" : field.before) + " -> " +
                (field.after.empty() ? "(empty)" : field.after);
    }
    return line;
}

std::string describe_removals(const sheet_report& report) {
    return "the sheet removes " + std::to_string(report.removals) + " of " +
           std::to_string(report.present) +
           " rows, more than the limit allows; if the file is complete, repeat with "
           "--confirm-removals";
}

void print_value(const std::string& name, const Var& value, std::size_t depth, std::string& text);

void print_object(const Object& object, std::size_t depth, std::string& text) {
    for (const std::pair<const std::string, Var>& member : object) {
        print_value(member.first, member.second, depth, text);
    }
}

std::string label(const std::string& name, std::size_t depth) {
    return std::string(2 * depth, ' ') + name + ":";
}

void print_value(const std::string& name, const Var& value, std::size_t depth, std::string& text) {
    if (value.type() == typeid(Object::Ptr)) {
        text += label(name, depth) + "\n";
        print_object(*value.extract<Object::Ptr>(), depth + 1, text);
    } else if (value.type() == typeid(Array::Ptr)) {
        const Array::Ptr& array = value.extract<Array::Ptr>();
        text += label(name, depth) + (array->size() == 0 ? " none\n" : "\n");
        for (const Var& element : *array) {
            print_value("-", element, depth + 1, text);
        }
    } else {
        text += label(name, depth) + " " +
                (value.isEmpty() ? std::string("none") : value.convert<std::string>()) + "\n";
    }
}

std::string read_outcome(const std::string& json) {
    try {
        Poco::JSON::Parser parser;
        return parser.parse(json).extract<Object::Ptr>()->optValue<std::string>("outcome", "");
    } catch (const Poco::Exception&) {
        return {};
    }
}

struct outcome_code {
    std::string_view outcome;
    exit_code code;
};

/// Exit codes of all outcomes that the callers' and operators' APIs report.
constexpr std::array<outcome_code, 9> outcome_codes{{{"accepted", exit_code::done},
                                                     {"unchanged", exit_code::done},
                                                     {"answered", exit_code::done},
                                                     {"refused", exit_code::refused},
                                                     {"not-found", exit_code::refused},
                                                     {"not-run", exit_code::refused},
                                                     {"not_run", exit_code::refused},
                                                     {"conflict", exit_code::refused},
                                                     {"unknown", exit_code::unknown}}};

std::optional<exit_code> exit_code_of_outcome(const std::string& outcome) {
    for (const outcome_code& row : outcome_codes) {
        if (row.outcome == outcome) {
            return row.code;
        }
    }
    return std::nullopt;
}

} // namespace

std::string describe(const sheet_report& report) {
    std::string text = std::string(name_of(sheet_outcome_names, report.outcome)) + ", version " +
                       std::to_string(report.version) + "\n";
    for (const sheet_error& error : report.errors) {
        text += "  " + to_string(error) + "\n";
    }
    for (const sheet_conflict& conflict : report.conflicts) {
        text += "  " + describe(conflict) + "\n";
    }
    if (report.removals != 0) {
        text += "  " + describe_removals(report) + "\n";
    }
    for (const plan_difference& difference : report.differences) {
        text += "  " + describe(difference) + "\n";
    }
    return text;
}

std::string describe_json(const std::string& json) {
    try {
        Poco::JSON::Parser parser;
        const Var value = parser.parse(json);
        std::string text;
        if (value.type() == typeid(Object::Ptr)) {
            print_object(*value.extract<Object::Ptr>(), 0, text);
        } else {
            print_value("result", value, 0, text);
        }
        return text;
    } catch (const Poco::Exception&) {
        return json.empty() ? json : json + "\n";
    }
}

exit_code exit_code_of(const http_response& response, bool read_only) {
    const bool is_error = response.status >= first_error_status;
    std::optional<exit_code> code = exit_code_of_outcome(read_outcome(response.body));
    if (!code) {
        code = exit_code_of_outcome(response.outcome);
    }
    if (is_error && (!code || *code == exit_code::done)) {
        // After a server error without an outcome, the change may or may not have been made.
        return response.status >= first_server_error_status && !read_only && !code
                   ? exit_code::unknown
                   : exit_code::refused;
    }
    if (code) {
        // An unknown outcome of a read only means that the read failed: there was no change.
        return read_only && *code == exit_code::unknown ? exit_code::refused : *code;
    }
    return exit_code::done;
}

} // namespace egretstile::cli
