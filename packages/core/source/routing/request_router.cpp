#include <egretstile/core/routing/request_router.hpp>

#include <algorithm>
#include <chrono>

namespace egretstile {
namespace {

/// Interval at which sending the waiting requests is tried again. Polling is needed because no
/// event reports that the back-off or the ejection of an upstream has ended.
constexpr milliseconds waiting_retry_interval{20};
/// A shorter delay would hedge requests that are late only because of the scheduling of threads by
/// the operating system.
constexpr std::chrono::microseconds min_hedge_delay{2000};

/// Whether the result proves that the attempt did not run and will not run. A refusal as a
/// duplicate does not: an earlier copy of the attempt may have run.
bool proves_not_run(attempt_result result, refusal reason) {
    return result == attempt_result::not_sent ||
           (result == attempt_result::refused && reason != refusal::duplicate);
}

} // namespace

request_router::service_state::service_state(const routing_settings& settings)
    : pool(settings)
    , budget(settings.retry_percent) {}

request_router::request_router(const routing_settings& settings)
    : settings_(settings) {}

void request_router::update_upstream(const upstream_status& status, boot_time now) {
    const auto found = service_names_.find(status.vm);
    if (found != service_names_.end() && found->second != status.service) {
        remove_upstream(status.vm);
    }
    service_names_[status.vm] = status.service;
    service_of(status.service).pool.update(status, now);
    if (waiting_requests() > 0) {
        retry_waiting_at_ = now;
    }
}

void request_router::remove_upstream(const vm_name& vm) {
    const auto found = service_names_.find(vm);
    if (found == service_names_.end()) {
        return;
    }
    const std::string service = found->second;
    service_names_.erase(found);
    service_of(service).pool.remove(vm);
    erase_service_if_unused(service);
}

std::vector<routing_step> request_router::begin(const request_info& request, boot_time now) {
    steps out;
    const auto [position, added] = requests_.try_emplace(request.id);
    if (!added) {
        return out;
    }
    request_state& state = position->second;
    state.info = request;
    ++open_count_;
    service_state& service = service_of(request.service);
    ++service.requests;
    service.budget.add_request();
    state.timer = request.deadline;
    timers_.emplace(state.timer, request.id);
    if (now >= request.deadline) {
        finish_without_answer(state, refusal::deadline, out);
    } else {
        send_or_wait(state, service, now, out);
    }
    erase_if_complete(request.id);
    return out;
}

std::vector<routing_step> request_router::attempt_finished(std::uint64_t request_id,
                                                           std::uint32_t attempt,
                                                           attempt_result result, refusal reason,
                                                           boot_time now) {
    steps out;
    const auto position = requests_.find(request_id);
    if (position == requests_.end() || attempt == 0 || attempt > position->second.attempts.size() ||
        !position->second.attempts.at(attempt - 1).pending) {
        return out;
    }
    request_state& request = position->second;
    const std::string service_name = request.info.service;
    service_state& service = service_of(service_name);
    record_result(service, request.attempts.at(attempt - 1), result, reason, now);
    if (!request.finished) {
        if (result == attempt_result::answered) {
            finish(request,
                   {request_id, finish_request::outcome_kind::answered, attempt, refusal::none},
                   out);
        } else {
            const bool possibly_ran = !proves_not_run(result, reason);
            request.may_have_run = request.may_have_run || possibly_ran;
            request.last_refusal = possibly_ran ? request.last_refusal : reason;
            retry_or_finish(request, service, possibly_ran, now, out);
        }
    }
    dispatch_waiting(service, now, out);
    erase_if_complete(request_id);
    return out;
}

std::vector<routing_step> request_router::tick(boot_time now) {
    steps out;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        handle_timer(timers_.begin()->second, now, out);
    }
    if (retry_waiting_at_ && *retry_waiting_at_ <= now) {
        for (auto& [name, service] : services_) {
            dispatch_waiting(service, now, out);
        }
        retry_waiting_at_ = now + waiting_retry_interval;
    }
    return out;
}

std::optional<boot_time> request_router::next_tick() const {
    if (open_count_ == 0) {
        return std::nullopt;
    }
    boot_time next = timers_.begin()->first;
    if (waiting_requests() > 0 && retry_waiting_at_) {
        next = std::min(next, *retry_waiting_at_);
    }
    return next;
}

std::size_t request_router::waiting_requests() const {
    std::size_t count = 0;
    for (const auto& [name, service] : services_) {
        count += service.waiting.size();
    }
    return count;
}

std::uint32_t request_router::outstanding(const vm_name& vm) const {
    const auto found = service_names_.find(vm);
    return found == service_names_.end() ? 0 : services_.at(found->second).pool.outstanding(vm);
}

bool request_router::is_ejected(const vm_name& vm, boot_time now) const {
    const auto found = service_names_.find(vm);
    return found != service_names_.end() && services_.at(found->second).pool.is_ejected(vm, now);
}

request_router::service_state& request_router::service_of(const std::string& name) {
    return services_.try_emplace(name, settings_).first->second;
}

void request_router::erase_service_if_unused(const std::string& name) {
    // Callers choose the service names, so unused entries would take unbounded memory.
    const auto position = services_.find(name);
    if (position->second.requests == 0 && position->second.pool.empty()) {
        services_.erase(position);
    }
}

std::uint32_t request_router::pending_attempts(const request_state& request) {
    return static_cast<std::uint32_t>(
        std::count_if(request.attempts.begin(), request.attempts.end(),
                      [](const attempt_state& attempt) { return attempt.pending; }));
}

bool request_router::may_attempt(const request_state& request, boot_time now) const {
    return now < request.info.deadline && request.attempts.size() < settings_.max_attempts;
}

std::optional<vm_name> request_router::choose(const request_state& request, service_state& service,
                                              bool hedge, boot_time now) {
    std::vector<vm_name> tried;
    for (const attempt_state& attempt : request.attempts) {
        tried.push_back(attempt.vm);
    }
    if (hedge) {
        return service.pool.choose_for_hedge(tried, now);
    }
    std::optional<vm_name> vm = service.pool.choose(tried, now);
    if (!vm && !tried.empty()) {
        // Only upstreams that were already tried are usable; one of them may have recovered.
        vm = service.pool.choose({}, now);
    }
    return vm;
}

milliseconds::rep request_router::elapsed_us(const attempt_state& attempt, boot_time now) {
    return std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.sent_at).count();
}

std::chrono::nanoseconds request_router::hedge_delay(const service_state& service) const {
    if (!service.pool.latencies().has_p95()) {
        return settings_.initial_hedge_delay;
    }
    const std::chrono::microseconds p95{
        static_cast<std::chrono::microseconds::rep>(service.pool.latencies().p95_us())};
    return std::max(p95, min_hedge_delay);
}

void request_router::send(request_state& request, service_state& service, const vm_name& vm,
                          boot_time now, steps& out) {
    request.attempts.push_back({vm, now, true, false});
    service.pool.attempt_sent(vm);
    const auto attempt = static_cast<std::uint32_t>(request.attempts.size());
    out.emplace_back(send_attempt{request.info.id, attempt, vm});
    request.hedge_at.reset();
    if (request.info.idempotent && may_attempt(request, now)) {
        request.hedge_at = now + hedge_delay(service);
    }
    update_timer(request);
}

bool request_router::try_send(request_state& request, service_state& service, boot_time now,
                              steps& out) {
    const std::optional<vm_name> vm = choose(request, service, false, now);
    if (vm) {
        send(request, service, *vm, now, out);
    }
    return vm.has_value();
}

void request_router::send_or_wait(request_state& request, service_state& service, boot_time now,
                                  steps& out) {
    // Requests that are already waiting are sent first.
    if (service.waiting.empty() && try_send(request, service, now, out)) {
        return;
    }
    if (service.waiting.size() >= settings_.max_waiting) {
        finish_without_answer(request, refusal::no_upstream, out);
        return;
    }
    request.waiting_sequence = next_waiting_sequence_++;
    service.waiting.emplace(request.waiting_sequence, request.info.id);
    if (!retry_waiting_at_) {
        retry_waiting_at_ = now + waiting_retry_interval;
    }
    update_timer(request);
    dispatch_waiting(service, now, out);
}

void request_router::dispatch_waiting(service_state& service, boot_time now, steps& out) {
    while (!service.waiting.empty()) {
        const auto first = service.waiting.begin();
        request_state& request = requests_.at(first->second);
        if (now >= request.info.deadline || !try_send(request, service, now, out)) {
            return;
        }
        request.waiting_sequence = 0;
        service.waiting.erase(first);
    }
}

void request_router::finish(request_state& request, const finish_request& step, steps& out) {
    if (request.waiting_sequence != 0) {
        service_of(request.info.service).waiting.erase(request.waiting_sequence);
        request.waiting_sequence = 0;
    }
    request.finished = true;
    request.hedge_at.reset();
    --open_count_;
    out.emplace_back(step);
    update_timer(request);
}

void request_router::finish_without_answer(request_state& request, refusal reason, steps& out) {
    const bool unknown = request.may_have_run || pending_attempts(request) > 0;
    finish_request step;
    step.request_id = request.info.id;
    if (!unknown) {
        step.outcome = finish_request::outcome_kind::not_run;
        step.reason = request.last_refusal == refusal::none ? reason : request.last_refusal;
    }
    finish(request, step, out);
}

void request_router::record_result(service_state& service, attempt_state& attempt,
                                   attempt_result result, refusal reason, boot_time now) {
    attempt.pending = false;
    if (attempt.timed_out && result == attempt_result::failed) {
        // Its failure was already counted at the deadline.
        service.pool.attempt_abandoned(attempt.vm);
        return;
    }
    service.pool.attempt_ended(attempt.vm, result, reason,
                               static_cast<double>(elapsed_us(attempt, now)), now);
}

void request_router::retry_or_finish(request_state& request, service_state& service,
                                     bool possibly_ran, boot_time now, steps& out) {
    if (pending_attempts(request) > 0) {
        // Another attempt may still bring an answer.
        return;
    }
    request.hedge_at.reset();
    // An attempt that did not run costs the upstreams nothing, so its retry needs no budget.
    const bool allowed = may_attempt(request, now) &&
                         (!possibly_ran || (request.info.idempotent && service.budget.try_spend()));
    if (allowed) {
        send_or_wait(request, service, now, out);
    } else {
        finish_without_answer(request, refusal::deadline, out);
    }
}

void request_router::hedge(request_state& request, service_state& service, boot_time now,
                           steps& out) {
    const std::optional<vm_name> vm = choose(request, service, true, now);
    if (vm && service.budget.try_spend()) {
        send(request, service, *vm, now, out);
        return;
    }
    request.hedge_at = now + hedge_delay(service);
    update_timer(request);
}

void request_router::handle_timer(std::uint64_t id, boot_time now, steps& out) {
    request_state& request = requests_.at(id);
    service_state& service = service_of(request.info.service);
    if (now < request.info.deadline) {
        hedge(request, service, now, out);
        return;
    }
    if (!request.finished) {
        finish_without_answer(
            request, request.attempts.empty() ? refusal::no_upstream : refusal::deadline, out);
    }
    for (attempt_state& attempt : request.attempts) {
        if (attempt.pending && !attempt.timed_out) {
            attempt.timed_out = true;
            service.pool.attempt_timed_out(attempt.vm,
                                           static_cast<double>(elapsed_us(attempt, now)), now);
        }
    }
    if (now >= request.info.deadline + late_result_timeout) {
        erase_request(id);
        return;
    }
    update_timer(request);
    erase_if_complete(id);
}

void request_router::update_timer(request_state& request) {
    boot_time at = request.info.deadline;
    if (request.hedge_at) {
        at = std::min(at, *request.hedge_at);
    }
    const bool has_running_attempt = std::any_of(
        request.attempts.begin(), request.attempts.end(),
        [](const attempt_state& attempt) { return attempt.pending && !attempt.timed_out; });
    if (request.finished && !has_running_attempt) {
        at = request.info.deadline + late_result_timeout;
    }
    if (at != request.timer) {
        timers_.erase({request.timer, request.info.id});
        request.timer = at;
        timers_.emplace(at, request.info.id);
    }
}

void request_router::erase_if_complete(std::uint64_t id) {
    const request_state& request = requests_.at(id);
    if (request.finished && pending_attempts(request) == 0) {
        erase_request(id);
    }
}

void request_router::erase_request(std::uint64_t id) {
    const auto position = requests_.find(id);
    const std::string service_name = position->second.info.service;
    service_state& service = service_of(service_name);
    for (const attempt_state& attempt : position->second.attempts) {
        if (attempt.pending) {
            service.pool.attempt_abandoned(attempt.vm);
        }
    }
    timers_.erase({position->second.timer, id});
    requests_.erase(position);
    --service.requests;
    erase_service_if_unused(service_name);
}

} // namespace egretstile
