#include "entry/request_service.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

/// The request id on the wire has the number of the attempt in its low bits, so that the answers to
/// two attempts of one request can be told apart.
constexpr std::uint32_t attempt_bits = 8;
constexpr std::uint64_t attempt_mask = (1U << attempt_bits) - 1;

std::uint64_t wire_request_id(std::uint64_t request_id, std::uint32_t attempt) {
    return (request_id << attempt_bits) | attempt;
}

/// From this HTTP status on, an answer reports a failure of the upstream itself. The attempt counts
/// as failed, because another upstream may be able to answer.
constexpr std::uint32_t first_server_error = 500;

attempt_result to_attempt_result(const wire::serve_reply& reply) {
    switch (reply.outcome) {
    case wire::serve_outcome::answered:
        return reply.http_status < first_server_error ? attempt_result::answered
                                                      : attempt_result::failed;
    case wire::serve_outcome::not_run:
        return attempt_result::refused;
    case wire::serve_outcome::unknown:
        return attempt_result::failed;
    }
    return attempt_result::failed;
}

wire::serve_outcome to_outcome(finish_request::outcome_kind kind) {
    switch (kind) {
    case finish_request::outcome_kind::answered:
        return wire::serve_outcome::answered;
    case finish_request::outcome_kind::not_run:
        return wire::serve_outcome::not_run;
    case finish_request::outcome_kind::unknown:
        return wire::serve_outcome::unknown;
    }
    return wire::serve_outcome::unknown;
}

} // namespace

request_service::request_service(event_loop& loop, const routing_settings& settings,
                                 fleet& vm_fleet)
    : loop_(loop)
    , fleet_(vm_fleet)
    , router_(settings) {}

void request_service::serve(service_request request, answer_callback done) {
    const std::uint64_t id = next_id_++;
    const request_info info{id, request.service, request.idempotent, request.deadline};
    open_.emplace(id, open_request{std::move(request), std::move(done), {}});
    carry_out(router_.begin(info, boot_now()));
}

void request_service::update_upstream(const fleet_vm& vm, bool domain_in_service, boot_time now) {
    upstream_status view;
    view.vm = vm.view.vm;
    view.failure_domain = vm.view.failure_domain;
    view.service = vm.view.service;
    view.ready = vm.upstream == wire::upstream_state::ready && !vm.draining;
    view.domain_in_service = domain_in_service;
    view.slots = vm.view.slots;
    view.slots_in_use = vm.view.slots_in_use;
    view.latency_us = vm.view.latency_us;
    router_.update_upstream(view, now);
    schedule_tick();
}

void request_service::remove_upstream(const vm_name& vm) {
    router_.remove_upstream(vm);
}

void request_service::reply_received(const vm_name& vm, wire::serve_reply reply) {
    const std::uint64_t request_id = reply.request_id >> attempt_bits;
    const std::uint32_t attempt = static_cast<std::uint32_t>(reply.request_id & attempt_mask);
    const auto found = open_.find(request_id);
    if (found != open_.end()) {
        const auto sent = found->second.attempts.find(attempt);
        if (sent == found->second.attempts.end() || sent->second.vm != vm ||
            sent->second.finished) {
            return;
        }
        sent->second.finished = true;
        sent->second.http_status = reply.http_status;
        sent->second.body = std::move(reply.body);
    }
    carry_out(router_.attempt_finished(request_id, attempt, to_attempt_result(reply), reply.reason,
                                       boot_now()));
}

void request_service::connection_lost(const vm_name& vm) {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> lost;
    for (auto& [id, request] : open_) {
        for (auto& [attempt, state] : request.attempts) {
            if (state.vm == vm && !state.finished) {
                state.finished = true;
                lost.emplace_back(id, attempt);
            }
        }
    }
    for (const auto& [id, attempt] : lost) {
        carry_out(router_.attempt_finished(id, attempt, attempt_result::failed, refusal::none,
                                           boot_now()));
    }
}

void request_service::carry_out(const std::vector<routing_step>& steps) {
    for (const routing_step& step : steps) {
        std::visit([this](const auto& content) { carry_out_step(content); }, step);
    }
    schedule_tick();
}

void request_service::carry_out_step(const send_attempt& step) {
    const auto found = open_.find(step.request_id);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    const boot_time now = boot_now();
    const milliseconds remaining =
        std::chrono::duration_cast<milliseconds>(open.request.deadline - now);
    wire::serve_request message;
    message.request_id = wire_request_id(step.request_id, step.attempt);
    message.service = open.request.service;
    message.deadline_ms =
        static_cast<std::uint64_t>(std::max<milliseconds::rep>(remaining.count(), 0));
    message.idempotent = open.request.idempotent;
    message.body = open.request.body;
    message.traceparent = open.request.traceparent;
    open.attempts[step.attempt].vm = step.vm;
    if (!fleet_.send(step.vm, message)) {
        open.attempts[step.attempt].finished = true;
        carry_out(router_.attempt_finished(step.request_id, step.attempt, attempt_result::not_sent,
                                           refusal::none, now));
    }
}

void request_service::carry_out_step(const finish_request& step) {
    const auto found = open_.find(step.request_id);
    if (found == open_.end()) {
        return;
    }
    open_request open = std::move(found->second);
    open_.erase(found);
    service_answer answer;
    answer.outcome = to_outcome(step.outcome);
    answer.reason = step.reason;
    answer.attempts = static_cast<std::uint32_t>(open.attempts.size());
    for (auto& [attempt, state] : open.attempts) {
        if (!state.finished) {
            fleet_.send(state.vm, wire::cancel_request{wire_request_id(step.request_id, attempt)});
        } else if (attempt == step.attempt &&
                   step.outcome == finish_request::outcome_kind::answered) {
            answer.vm = state.vm;
            answer.http_status = state.http_status;
            answer.body = std::move(state.body);
        }
    }
    open.done(answer);
}

void request_service::schedule_tick() {
    const std::optional<boot_time> next = router_.next_tick();
    if (!next || (tick_scheduled_ && *tick_scheduled_ <= *next)) {
        return;
    }
    tick_scheduled_ = next;
    loop_.call_at(*next, [this, time = *next] {
        if (tick_scheduled_ == time) {
            tick_scheduled_.reset();
        }
        carry_out(router_.tick(boot_now()));
    });
}

} // namespace egretstile::daemon
