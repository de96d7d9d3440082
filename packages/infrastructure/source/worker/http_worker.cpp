#include "http/http_client.hpp"
#include "worker/worker_json.hpp"

#include <egretstile/infrastructure/worker/http_worker.hpp>

#include <Poco/URI.h>

#include <optional>
#include <utility>

namespace egretstile::infrastructure {

namespace {

constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr const char* json_type = "application/json";

std::string incarnation_query(incarnation_number incarnation) {
    return "?incarnation=" + std::to_string(incarnation);
}

std::string run_target(const task_run& run, const std::string& action) {
    std::string id;
    Poco::URI::encode(run.key + ":" + std::to_string(run.attempt), "/?#:%&=+;@!$'()*,[]", id);
    return "/v1/tasks/" + id + "/" + action;
}

worker_error error_of(int status) {
    if (status == status_too_many || status == status_unavailable) {
        return worker_error::unavailable;
    }
    return status >= 400 && status < 500 ? worker_error::refused : worker_error::no_answer;
}

/// The body of a response with a 2xx status, else the error.
worker_result<std::string> successful_body(http_result result) {
    if (const auto* const failure = std::get_if<http_failure>(&result)) {
        return *failure == http_failure::not_sent ? worker_error::unavailable
                                                  : worker_error::no_answer;
    }
    auto& response = std::get<http_response>(result);
    if (response.status < 200 || response.status >= 300) {
        return error_of(response.status);
    }
    return std::move(response.body);
}

worker_result<std::monostate> discard_body(const worker_result<std::string>& result) {
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        return *error;
    }
    return std::monostate{};
}

} // namespace

http_worker::http_worker(const std::string& host, std::uint16_t port, milliseconds timeout)
    : client_(std::make_unique<http_client>(host, port))
    , timeout_(timeout) {}

http_worker::~http_worker() = default;

void http_worker::abort() {
    client_->abort();
}

worker_result<std::string> http_worker::post_action(incarnation_number incarnation,
                                                    const task_run& run, const std::string& action,
                                                    const std::string& body) {
    const std::string target = run_target(run, action) + incarnation_query(incarnation);
    return successful_body(client_->call({"POST", target, body, json_type}, timeout_));
}

worker_result<std::string> http_worker::post_action_for_checkpoint(incarnation_number incarnation,
                                                                   const task_run& run,
                                                                   const std::string& action,
                                                                   const std::string& body) {
    worker_result<std::string> result = post_action(incarnation, run, action, body);
    const auto* const text = std::get_if<std::string>(&result);
    if (text == nullptr) {
        return result;
    }
    std::optional<std::string> checkpoint_data = checkpoint_from_json(*text);
    if (!checkpoint_data) {
        return worker_error::no_answer;
    }
    return std::move(*checkpoint_data);
}

worker_result<worker_status> http_worker::status(incarnation_number incarnation) {
    const worker_result<std::string> result = successful_body(
        client_->call({"GET", "/v1/worker" + incarnation_query(incarnation), {}}, timeout_));
    if (const auto* const error = std::get_if<worker_error>(&result)) {
        return *error;
    }
    std::optional<worker_status> status = status_from_json(std::get<std::string>(result));
    if (!status) {
        return worker_error::no_answer;
    }
    return std::move(*status);
}

worker_result<std::monostate> http_worker::start(incarnation_number incarnation,
                                                 const worker_start& start) {
    const std::string target = "/v1/tasks" + incarnation_query(incarnation);
    return discard_body(successful_body(
        client_->call({"POST", target, start_to_json(start), json_type}, timeout_)));
}

worker_result<std::monostate> http_worker::renew(incarnation_number incarnation,
                                                 const std::vector<worker_renewal>& renewals) {
    const std::string target = "/v1/renew" + incarnation_query(incarnation);
    return discard_body(successful_body(
        client_->call({"POST", target, renewals_to_json(renewals), json_type}, timeout_)));
}

worker_result<std::string> http_worker::checkpoint(incarnation_number incarnation,
                                                   const task_run& run) {
    return post_action_for_checkpoint(incarnation, run, "checkpoint", {});
}

worker_result<std::string> http_worker::suspend(incarnation_number incarnation,
                                                const task_run& run) {
    return post_action_for_checkpoint(incarnation, run, "suspend", {});
}

worker_result<std::monostate> http_worker::resume(incarnation_number incarnation,
                                                  const task_run& run, boot_time lease_until) {
    return discard_body(post_action(incarnation, run, "resume", lease_to_json(lease_until)));
}

worker_result<std::monostate> http_worker::throttle(incarnation_number incarnation,
                                                    const task_run& run,
                                                    std::uint32_t cpu_percent) {
    return discard_body(post_action(incarnation, run, "throttle",
                                    "{\"cpu_percent\":" + std::to_string(cpu_percent) + "}"));
}

worker_result<std::string> http_worker::stop(incarnation_number incarnation, const task_run& run,
                                             bool take_checkpoint) {
    return post_action_for_checkpoint(incarnation, run, "stop",
                                      take_checkpoint ? R"({"take_checkpoint":true})"
                                                      : R"({"take_checkpoint":false})");
}

worker_result<std::monostate> http_worker::forget(incarnation_number incarnation,
                                                  const task_run& run) {
    return discard_body(post_action(incarnation, run, "forget", {}));
}

} // namespace egretstile::infrastructure
