#pragma once

#include <egretstile/core/task/task.hpp>

#include <Poco/JSON/Object.h>

#include <string>
#include <variant>

namespace egretstile::daemon {

/// Parses the JSON body of a submission. Returns the task, or the first error as text for the
/// caller. Thread-safe.
std::variant<task_spec, std::string> parse_task_spec(const std::string& body);

/// State of a task as a JSON object for callers and operators. Thread-safe.
Poco::JSON::Object::Ptr to_json(const task_record& record);

/// Text of a JSON object. Thread-safe.
std::string to_text(const Poco::JSON::Object::Ptr& object);

} // namespace egretstile::daemon
