#include <egretstile/core/admission/request_limiter.hpp>

#include <algorithm>
#include <iterator>

namespace egretstile {

std::vector<waiting_outcome> request_limiter::set_upstream(upstream_availability availability,
                                                           std::size_t slots, boot_time now) {
    if (availability != availability_ && availability == upstream_availability::ready) {
        // The upstream may be a new process with other response times.
        response_time_.reset();
    }
    availability_ = availability;
    slots_ = slots;
    switch (availability) {
    case upstream_availability::absent:
        return refuse_waiting(refusal::no_upstream);
    case upstream_availability::leaving:
        return refuse_waiting(refusal::draining);
    case upstream_availability::ready:
        break;
    }
    return admit_waiting(now);
}

limiter_decision request_limiter::offer(const request_id& id, boot_time deadline, boot_time now) {
    expire_ids(now);
    const bool is_duplicate =
        retained_ids_.contains(id) || waiting_positions_.contains(id) || in_upstream_.contains(id);
    if (is_duplicate) {
        return request_duplicate{id};
    }
    const boot_time bounded_deadline = std::min(deadline, now + limits_.max_time_to_deadline);
    retained_ids_.emplace(id, bounded_deadline);
    id_expiries_.emplace(bounded_deadline, id);
    const refusal reason = refusal_reason(bounded_deadline, now);
    if (reason != refusal::none) {
        return request_refused{id, reason};
    }
    if (has_free_slot()) {
        occupy_slot(id, now);
        return request_admitted{id};
    }
    const waiting_position position{bounded_deadline, next_arrival_++};
    waiting_.emplace(position, id);
    waiting_positions_.emplace(id, position);
    return request_waiting{id};
}

std::vector<waiting_outcome> request_limiter::finished(const request_id& id, request_end end,
                                                       boot_time now) {
    const auto request = in_upstream_.find(id);
    if (request == in_upstream_.end()) {
        return {};
    }
    if (end == request_end::answered) {
        update_response_time(now - request->second);
    }
    in_upstream_.erase(request);
    return admit_waiting(now);
}

cancel_result request_limiter::cancel(const request_id& id) {
    const auto position = waiting_positions_.find(id);
    if (position == waiting_positions_.end()) {
        return in_upstream_.contains(id) ? cancel_result::in_upstream : cancel_result::unknown;
    }
    waiting_.erase(position->second);
    waiting_positions_.erase(position);
    return cancel_result::cancelled;
}

std::vector<waiting_outcome> request_limiter::tick(boot_time now) {
    std::vector<waiting_outcome> outcomes = admit_waiting(now);
    expire_ids(now);
    return outcomes;
}

std::optional<boot_time> request_limiter::next_tick() const {
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.begin()->first.first);
}

refusal request_limiter::refusal_reason(boot_time deadline, boot_time now) const {
    if (availability_ == upstream_availability::absent) {
        return refusal::no_upstream;
    }
    if (availability_ == upstream_availability::leaving) {
        return refusal::draining;
    }
    if (deadline <= now) {
        return refusal::deadline;
    }
    if (has_free_slot()) {
        return refusal::none;
    }
    if (now + estimated_wait(deadline) >= deadline) {
        return refusal::deadline;
    }
    return waiting_.size() < limits_.max_waiting ? refusal::none : refusal::no_capacity;
}

bool request_limiter::has_free_slot() const {
    return in_upstream_.size() < slots_;
}

boot_clock::duration request_limiter::estimated_wait(boot_time deadline) const {
    if (slots_ == 0) {
        return limits_.max_time_to_deadline;
    }
    const auto first_behind = waiting_.lower_bound({deadline, next_arrival_});
    const auto ahead = std::distance(waiting_.begin(), first_behind);
    return response_time_.value_or(boot_clock::duration::zero()) * (ahead + 1) /
           static_cast<boot_clock::rep>(slots_);
}

void request_limiter::occupy_slot(const request_id& id, boot_time now) {
    in_upstream_.emplace(id, now);
}

void request_limiter::update_response_time(boot_clock::duration duration) {
    // Each response contributes 1/8, so the average follows a change within about ten requests.
    constexpr boot_clock::rep inverse_weight = 8;
    if (!response_time_) {
        response_time_ = duration;
        return;
    }
    *response_time_ += (duration - *response_time_) / inverse_weight;
}

std::vector<waiting_outcome> request_limiter::refuse_waiting(refusal reason) {
    std::vector<waiting_outcome> outcomes;
    while (!waiting_.empty()) {
        outcomes.emplace_back(request_refused{pop_waiting(), reason});
    }
    return outcomes;
}

std::vector<waiting_outcome> request_limiter::admit_waiting(boot_time now) {
    std::vector<waiting_outcome> outcomes;
    while (!waiting_.empty()) {
        const bool deadline_passed = waiting_.begin()->first.first <= now;
        if (!deadline_passed && !has_free_slot()) {
            break;
        }
        const request_id id = pop_waiting();
        if (deadline_passed) {
            outcomes.emplace_back(request_refused{id, refusal::deadline});
            continue;
        }
        occupy_slot(id, now);
        outcomes.emplace_back(request_admitted{id});
    }
    return outcomes;
}

request_id request_limiter::pop_waiting() {
    const auto first = waiting_.begin();
    request_id id = first->second;
    waiting_positions_.erase(id);
    waiting_.erase(first);
    return id;
}

void request_limiter::expire_ids(boot_time now) {
    while (!id_expiries_.empty() && id_expiries_.begin()->first < now) {
        retained_ids_.erase(id_expiries_.begin()->second);
        id_expiries_.erase(id_expiries_.begin());
    }
}

} // namespace egretstile
