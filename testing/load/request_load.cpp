#include "request_load.hpp"

#include "caller_connection.hpp"
#include "common/serve_answer.hpp"
#include "open_loop.hpp"

#include <optional>
#include <string>
#include <vector>

namespace egretstile::load {

namespace {

/// Time after the deadline, by which the entry answers, until the caller closes the connection.
constexpr std::chrono::milliseconds answer_margin{1000};

call_result classify_reply(const std::optional<caller_reply>& reply, const std::string& body) {
    if (!reply || reply->outcome == "unknown") {
        return call_result::unknown;
    }
    if (reply->outcome == "not-run") {
        return call_result::not_run;
    }
    const bool correct = reply->outcome == "answered" && reply->status == 200 &&
                         reply->body == standins::serve_answer(body);
    return correct ? call_result::answered : call_result::wrong;
}

/// The body begins with the id, so that it is unique and upstreams can log the id.
std::string body_of(const std::string& id, std::uint32_t bytes) {
    std::string body = id + " ";
    if (body.size() < bytes) {
        body.append(bytes - body.size(), 'x');
    }
    return body;
}

caller_request request_of(const request_settings& settings, const std::string& id) {
    caller_request request;
    request.method = "POST";
    request.target = "/v1/requests/" + settings.service;
    request.body = body_of(id, settings.body_bytes);
    request.headers["Idempotent"] = settings.idempotent ? "true" : "false";
    request.headers["Deadline-Ms"] = std::to_string(settings.deadline.count());
    request.headers["Request-Id"] = id;
    return request;
}

} // namespace

void run_requests(const load_settings& settings, load_report& report) {
    const request_settings& requests = settings.requests;
    std::vector<caller_connection> connections;
    for (std::uint32_t thread = 0; thread < requests.threads; ++thread) {
        connections.emplace_back(settings.host, settings.ports.at(thread % settings.ports.size()),
                                 requests.deadline + answer_margin);
    }
    run_open_loop(
        {requests.rate, requests.threads, settings.duration, settings.max_count},
        [&](std::uint32_t thread, std::uint64_t index, std::chrono::steady_clock::time_point due) {
            const std::string id = settings.prefix + "-" + std::to_string(index);
            const caller_request request = request_of(requests, id);
            const auto reply = connections[thread].call(request);
            const auto latency = std::chrono::steady_clock::now() - due;
            report.add(classify_reply(reply, request.body),
                       std::chrono::duration_cast<std::chrono::microseconds>(latency));
        });
}

} // namespace egretstile::load
