#include "recorded_calls.hpp"

#include "caller_connection.hpp"
#include "common/serve_answer.hpp"
#include "open_loop.hpp"

#include <algorithm>
#include <mutex>
#include <optional>

namespace egretstile::integration {

namespace {

using load::call_result;

/// Time after the deadline, by which the entry answers, until the caller closes the connection.
constexpr std::chrono::milliseconds answer_margin{3000};

load::caller_request request_of(const call_settings& settings, const std::string& label) {
    load::caller_request request;
    request.method = "POST";
    request.target = "/v1/requests/lookup";
    request.body = label + " ";
    // The padding contains the label too, so that a tail from another request's body is detected.
    while (request.body.size() < settings.body_bytes) {
        request.body += label + ".";
    }
    request.headers["Idempotent"] = settings.idempotent ? "true" : "false";
    request.headers["Deadline-Ms"] = std::to_string(settings.deadline.count());
    return request;
}

call_result classify_reply(const load::caller_reply& reply, const std::string& body) {
    if (reply.outcome == "unknown") {
        return call_result::unknown;
    }
    if (reply.outcome == "not-run") {
        return call_result::not_run;
    }
    const bool correct = reply.outcome == "answered" && reply.status == 200 &&
                         reply.body == standins::serve_answer(body);
    return correct ? call_result::answered : call_result::wrong;
}

recorded_call make_call(load::caller_connection& connection, const call_settings& settings,
                        std::uint64_t index) {
    recorded_call call;
    call.label = settings.prefix + "-" + std::to_string(index);
    const load::caller_request request = request_of(settings, call.label);
    const std::optional<load::caller_reply> reply = connection.call(request);
    if (reply) {
        call.replied = true;
        call.status = reply->status;
        call.result = classify_reply(*reply, request.body);
    }
    return call;
}

std::size_t start_count(const std::map<std::string, std::size_t>& start_counts,
                        const std::string& label) {
    const auto found = start_counts.find(label);
    return found == start_counts.end() ? 0 : found->second;
}

} // namespace

std::vector<recorded_call> make_calls(const call_settings& settings) {
    std::vector<load::caller_connection> connections;
    for (std::uint32_t thread = 0; thread < settings.threads; ++thread) {
        connections.emplace_back("127.0.0.1", settings.ports.at(thread % settings.ports.size()),
                                 settings.deadline + answer_margin);
    }
    std::mutex mutex;
    std::vector<recorded_call> calls;
    load::run_open_loop(
        {settings.rate, settings.threads, settings.duration, settings.max_count},
        [&](std::uint32_t thread, std::uint64_t index, std::chrono::steady_clock::time_point) {
            const recorded_call call = make_call(connections[thread], settings, index);
            const std::lock_guard lock(mutex);
            calls.push_back(call);
        });
    return calls;
}

std::future<std::vector<recorded_call>> make_calls_async(const call_settings& settings) {
    return std::async(std::launch::async, [settings] { return make_calls(settings); });
}

std::size_t count_result(const std::vector<recorded_call>& calls, call_result result) {
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(),
                      [result](const recorded_call& call) { return call.result == result; }));
}

std::size_t count_without_reply(const std::vector<recorded_call>& calls) {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const recorded_call& call) { return !call.replied; }));
}

std::string summary(const std::vector<recorded_call>& calls) {
    return "answered=" + std::to_string(count_result(calls, call_result::answered)) +
           " not_run=" + std::to_string(count_result(calls, call_result::not_run)) +
           " unknown=" + std::to_string(count_result(calls, call_result::unknown)) +
           " wrong=" + std::to_string(count_result(calls, call_result::wrong)) +
           " without_reply=" + std::to_string(count_without_reply(calls));
}

std::vector<std::string>
not_run_but_started(const std::vector<recorded_call>& calls,
                    const std::map<std::string, std::size_t>& start_counts) {
    std::vector<std::string> labels;
    for (const recorded_call& call : calls) {
        if (call.result == call_result::not_run && start_count(start_counts, call.label) > 0) {
            labels.push_back(call.label);
        }
    }
    return labels;
}

std::vector<std::string> started_again(const std::vector<recorded_call>& calls,
                                       const std::map<std::string, std::size_t>& start_counts) {
    std::vector<std::string> labels;
    for (const recorded_call& call : calls) {
        if (start_count(start_counts, call.label) > 1) {
            labels.push_back(call.label);
        }
    }
    return labels;
}

} // namespace egretstile::integration
