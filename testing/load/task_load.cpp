#include "task_load.hpp"

#include "caller_connection.hpp"
#include "open_loop.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/task/task.hpp>

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace egretstile::load {

namespace {

constexpr std::chrono::milliseconds call_timeout{5000};
constexpr std::chrono::milliseconds state_poll_interval{100};
constexpr int status_not_found = 404;

std::string submission(const task_settings& settings, const std::string& key) {
    Poco::JSON::Object need;
    need.set("cpu_millicores", settings.cpu_millicores);
    need.set("memory_mb", settings.memory_mb);
    need.set("accelerators", 0);
    Poco::JSON::Object object;
    object.set("key", key);
    object.set("kind", settings.kind);
    object.set("priority", settings.priority);
    object.set("team", settings.team);
    object.set("need", need);
    object.set("idempotent", settings.idempotent);
    object.set("declared_run_time_ms", settings.work_ms);
    object.set("payload", "work_ms=" + std::to_string(settings.work_ms) + ";result=" + key);
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

/// String field of a JSON object; `std::nullopt` when `text` is not an object with this field.
std::optional<std::string> field_of(const std::string& text, const std::string& field) {
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>()->getValue<std::string>(field);
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

call_result classify_reply(const std::optional<caller_reply>& reply, const std::string& key) {
    if (!reply || reply->outcome == "unknown") {
        return call_result::unknown;
    }
    if (reply->outcome == "not-run") {
        return call_result::not_run;
    }
    const bool correct = reply->outcome == "answered" && field_of(reply->body, "key") == key;
    return correct ? call_result::answered : call_result::wrong;
}

/// State of the task; "lost" when the entry does not know the key, `std::nullopt` when there is no
/// answer.
std::optional<std::string> state_of(caller_connection& connection, const std::string& key) {
    const auto reply = connection.call({"GET", "/v1/tasks/" + key, {}, {}});
    if (!reply) {
        return std::nullopt;
    }
    if (reply->status == status_not_found) {
        return "lost";
    }
    return field_of(reply->body, "state");
}

bool is_final_state(const std::string& state) {
    const std::optional<task_state> known = value_of(task_state_names, state);
    return known && is_final(*known);
}

void follow_tasks(const load_settings& settings, const std::vector<std::string>& keys,
                  load_report& report) {
    const auto deadline = std::chrono::steady_clock::now() + settings.tasks.follow;
    caller_connection connection(settings.host, settings.ports.front(), call_timeout);
    for (const std::string& key : keys) {
        std::string last = "unread";
        for (;;) {
            last = state_of(connection, key).value_or(last);
            if (is_final_state(last) || std::chrono::steady_clock::now() >= deadline) {
                break;
            }
            std::this_thread::sleep_for(state_poll_interval);
        }
        report.add_state(last);
    }
}

} // namespace

void run_tasks(const load_settings& settings, load_report& report) {
    const task_settings& tasks = settings.tasks;
    std::vector<caller_connection> connections;
    for (std::uint32_t thread = 0; thread < tasks.threads; ++thread) {
        connections.emplace_back(settings.host, settings.ports.at(thread % settings.ports.size()),
                                 call_timeout);
    }
    std::mutex mutex;
    std::vector<std::string> accepted;
    run_open_loop(
        {tasks.rate, tasks.threads, settings.duration, settings.max_count},
        [&](std::uint32_t thread, std::uint64_t index, std::chrono::steady_clock::time_point due) {
            const std::string key = settings.prefix + "-task-" + std::to_string(index);
            const auto reply = connections[thread].call({"POST",
                                                         "/v1/tasks",
                                                         submission(tasks, key),
                                                         {{"Content-Type", "application/json"}}});
            const call_result result = classify_reply(reply, key);
            const auto latency = std::chrono::steady_clock::now() - due;
            report.add(result, std::chrono::duration_cast<std::chrono::microseconds>(latency));
            if (result == call_result::answered) {
                const std::lock_guard lock(mutex);
                accepted.push_back(key);
            }
        });
    if (tasks.follow.count() > 0) {
        follow_tasks(settings, accepted, report);
    }
}

} // namespace egretstile::load
