#include "entry/caller_api.hpp"

#include "entry/entry_process.hpp"
#include "entry/task_json.hpp"
#include "net/loop_call.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/JSON/Object.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

constexpr milliseconds max_deadline{60000};
/// Time that the HTTP thread waits beyond the deadline of a call. The event loop ends each call at
/// its deadline, and its answer needs some time to arrive.
constexpr milliseconds event_loop_margin{1000};
/// Pause before a call that ended as `not_run` or `unknown` is repeated, for example because its
/// shard has no owner yet.
constexpr milliseconds owner_retry_interval{100};

const std::string requests_prefix = "/v1/requests/";
const std::string tasks_path = "/v1/tasks";

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

int http_status_of(wire::task_call_outcome outcome) {
    switch (outcome) {
    case wire::task_call_outcome::accepted:
        return 200;
    case wire::task_call_outcome::not_found:
        return 404;
    case wire::task_call_outcome::conflict:
        return 409;
    case wire::task_call_outcome::not_run:
        return 503;
    case wire::task_call_outcome::unknown:
        return 504;
    }
    return 504;
}

/// Value of the header `Egretstile-Outcome` of an answer to a call about a task.
std::string outcome_header(wire::task_call_outcome outcome) {
    switch (outcome) {
    case wire::task_call_outcome::accepted:
        return "answered";
    case wire::task_call_outcome::unknown:
        return "unknown";
    case wire::task_call_outcome::not_found:
    case wire::task_call_outcome::conflict:
    case wire::task_call_outcome::not_run:
        return "not-run";
    }
    return "unknown";
}

http_answer error_answer(int status, const std::string& outcome, const std::string& reason) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("outcome", outcome);
    object->set("reason", reason);
    return {status, "application/json", {{"Egretstile-Outcome", outcome}}, to_text(object)};
}

http_answer to_http(const task_answer& answer) {
    const bool has_record = !answer.record.spec.key.empty();
    Poco::JSON::Object::Ptr object =
        has_record ? to_json(answer.record) : Poco::JSON::Object::Ptr(new Poco::JSON::Object);
    object->set("outcome", std::string(name_of(wire::task_call_outcome_names, answer.outcome)));
    if (!answer.reason.empty()) {
        object->set("reason", answer.reason);
    }
    return {http_status_of(answer.outcome),
            "application/json",
            {{"Egretstile-Outcome", outcome_header(answer.outcome)}},
            to_text(object)};
}

http_answer to_http(const service_answer& answer) {
    const std::string outcome(name_of(wire::serve_outcome_names, answer.outcome));
    if (answer.outcome == wire::serve_outcome::answered) {
        return {static_cast<int>(answer.http_status),
                "application/octet-stream",
                {{"Egretstile-Outcome", outcome}, {"Egretstile-Vm", answer.vm}},
                answer.body};
    }
    const int status = answer.outcome == wire::serve_outcome::not_run ? 503 : 504;
    return error_answer(status, outcome, std::string(name_of(refusal_names, answer.reason)));
}

} // namespace

http_answer caller_api::handle(const http_request& request) {
    if (request.method == "POST" && starts_with(request.path, requests_prefix)) {
        return serve(request, request.path.substr(requests_prefix.size()));
    }
    if (request.method == "POST" && request.path == tasks_path) {
        return submit(request);
    }
    if (starts_with(request.path, tasks_path + "/")) {
        const task_key key = request.path.substr(tasks_path.size() + 1);
        if (request.method == "GET") {
            return query(request, key);
        }
        if (request.method == "DELETE") {
            return cancel(request, key);
        }
    }
    if (request.path == "/readyz" || request.path == "/healthz") {
        const bool ok = request.path == "/healthz" || process_.is_ready();
        return {ok ? 200 : 503, "text/plain", {}, ok ? "ok\n" : "not ready\n"};
    }
    return error_answer(404, "not-run", "no such path");
}

http_answer caller_api::serve(const http_request& request, const std::string& service) {
    span request_span(process_.traces(), "entry.request",
                      trace_context::parse(request.header("traceparent")));
    const milliseconds timeout = timeout_of(request);
    const boot_time started = boot_now();
    service_request call;
    call.service = service;
    call.body = request.body;
    call.idempotent = request.header("idempotent", "true") != "false";
    call.deadline = boot_now() + timeout;
    call.traceparent = request_span.context().traceparent();
    const std::optional<service_answer> answer = call_on_loop<service_answer>(
        process_.loop(), timeout + event_loop_margin,
        [this, call = std::move(call)](const std::function<void(service_answer)>& done) {
            process_.requests().serve(call, done);
        });
    const service_answer result = answer.value_or(service_answer{});
    process_.counters().count_request(result, boot_now() - started);
    request_span.set_attribute("service", service);
    request_span.set_attribute("outcome",
                               std::string(name_of(wire::serve_outcome_names, result.outcome)));
    request_span.set_attribute("attempts", std::to_string(result.attempts));
    return to_http(result);
}

http_answer caller_api::submit(const http_request& request) {
    const std::variant<task_spec, std::string> parsed = parse_task_spec(request.body);
    if (const std::string* const error = std::get_if<std::string>(&parsed)) {
        return error_answer(400, "not-run", *error);
    }
    span request_span(process_.traces(), "entry.submit",
                      trace_context::parse(request.header("traceparent")));
    const task_spec spec = std::get<task_spec>(parsed);
    request_span.set_attribute("task", spec.key);
    return to_http(call_with_retries(
        boot_now() + timeout_of(request),
        [this, spec](boot_time deadline, const task_service::answer_callback& done) {
            process_.submit_task(spec, deadline, done);
        }));
}

http_answer caller_api::query(const http_request& request, const task_key& key) {
    return to_http(call_with_retries(
        boot_now() + timeout_of(request),
        [this, key](boot_time deadline, const task_service::answer_callback& done) {
            process_.query_task(key, deadline, done);
        }));
}

http_answer caller_api::cancel(const http_request& request, const task_key& key) {
    return to_http(call_with_retries(
        boot_now() + timeout_of(request),
        [this, key](boot_time deadline, const task_service::answer_callback& done) {
            process_.cancel_task(key, deadline, done);
        }));
}

http_answer caller_api::count_and_convert(const task_answer& answer) {
    process_.counters().count_task_call(answer);
    return to_http(answer);
}

/// Repeats the call until it has a definite outcome or `deadline` has passed, because the task's
/// shard may have no owner, or one that does not answer. Repeating is safe: the task key identifies
/// the call.
task_answer caller_api::call_with_retries(boot_time deadline, const task_call& call) {
    bool may_have_run = false;
    while (true) {
        const milliseconds remaining =
            std::chrono::duration_cast<milliseconds>(deadline - boot_now());
        std::optional<task_answer> answer = call_on_loop<task_answer>(
            process_.loop(), std::max(remaining, milliseconds(0)) + event_loop_margin,
            [call, deadline](const std::function<void(task_answer)>& done) {
                call(deadline, done);
            });
        if (!answer) {
            return {wire::task_call_outcome::unknown, "no answer in time", {}};
        }
        const bool is_settled = answer->outcome != wire::task_call_outcome::not_run &&
                                answer->outcome != wire::task_call_outcome::unknown;
        if (is_settled) {
            return *answer;
        }
        may_have_run = may_have_run || answer->outcome == wire::task_call_outcome::unknown;
        if (boot_now() + owner_retry_interval >= deadline) {
            // `not_run` applies to the last attempt only; an earlier attempt with the outcome
            // `unknown` may have taken effect.
            if (may_have_run) {
                answer->outcome = wire::task_call_outcome::unknown;
            }
            return *answer;
        }
        std::this_thread::sleep_for(owner_retry_interval);
    }
}

milliseconds caller_api::timeout_of(const http_request& request) const {
    const std::string text = request.header("deadline-ms");
    Poco::Int64 value = 0;
    if (!Poco::NumberParser::tryParse64(text, value) || value <= 0) {
        return process_.settings().default_deadline;
    }
    return std::min(milliseconds(value), max_deadline);
}

} // namespace egretstile::daemon
