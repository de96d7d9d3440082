#include <egretstile/core/admission/request_gate.hpp>

#include <algorithm>
#include <iterator>

namespace egretstile {

std::vector<gate_step> request_gate::set_upstream(upstream_presence presence, std::size_t slots,
                                                  boot_time now) {
    if (presence != presence_ && presence == upstream_presence::ready) {
        // Another upstream process may answer at another speed.
        answer_time_.reset();
    }
    presence_ = presence;
    slots_ = slots;
    switch (presence) {
    case upstream_presence::absent:
        return refuse_waiting(refusal::no_upstream);
    case upstream_presence::leaving:
        return refuse_waiting(refusal::draining);
    case upstream_presence::ready:
        break;
    }
    return serve_waiting(now);
}

gate_decision request_gate::offer(const request_id& id, boot_time deadline, boot_time now) {
    forget_ids(now);
    const bool seen =
        seen_.contains(id) || waiting_positions_.contains(id) || in_upstream_.contains(id);
    if (seen) {
        return request_duplicate{id};
    }
    const boot_time last_use = std::min(deadline, now + limits_.longest_deadline);
    seen_.emplace(id, last_use);
    seen_deadlines_.emplace(last_use, id);
    const refusal reason = why_refused(last_use, now);
    if (reason != refusal::none) {
        return request_refused{id, reason};
    }
    if (slot_is_free()) {
        take_slot(id, now);
        return request_admitted{id};
    }
    const waiting_position position{last_use, arrivals_++};
    waiting_.emplace(position, id);
    waiting_positions_.emplace(id, position);
    return request_waiting{id};
}

std::vector<gate_step> request_gate::finished(const request_id& id, request_end end,
                                              boot_time now) {
    const auto request = in_upstream_.find(id);
    if (request == in_upstream_.end()) {
        return {};
    }
    if (end == request_end::answered) {
        observe_answer(now - request->second);
    }
    in_upstream_.erase(request);
    return serve_waiting(now);
}

cancel_result request_gate::cancel(const request_id& id) {
    const auto position = waiting_positions_.find(id);
    if (position == waiting_positions_.end()) {
        return in_upstream_.contains(id) ? cancel_result::in_upstream : cancel_result::unknown;
    }
    waiting_.erase(position->second);
    waiting_positions_.erase(position);
    return cancel_result::cancelled;
}

std::vector<gate_step> request_gate::tick(boot_time now) {
    std::vector<gate_step> steps = serve_waiting(now);
    forget_ids(now);
    return steps;
}

std::optional<boot_time> request_gate::next_tick() const {
    return waiting_.empty() ? std::nullopt : std::optional(waiting_.begin()->first.first);
}

refusal request_gate::why_refused(boot_time deadline, boot_time now) const {
    if (presence_ == upstream_presence::absent) {
        return refusal::no_upstream;
    }
    if (presence_ == upstream_presence::leaving) {
        return refusal::draining;
    }
    if (deadline <= now) {
        return refusal::deadline;
    }
    if (slot_is_free()) {
        return refusal::none;
    }
    if (now + estimated_wait(deadline) >= deadline) {
        return refusal::deadline;
    }
    return waiting_.size() < limits_.max_waiting ? refusal::none : refusal::no_capacity;
}

bool request_gate::slot_is_free() const {
    return in_upstream_.size() < slots_;
}

boot_clock::duration request_gate::estimated_wait(boot_time deadline) const {
    if (slots_ == 0) {
        return limits_.longest_deadline;
    }
    const auto behind = waiting_.lower_bound({deadline, arrivals_});
    const auto ahead = std::distance(waiting_.begin(), behind);
    return answer_time_.value_or(boot_clock::duration::zero()) * (ahead + 1) /
           static_cast<boot_clock::rep>(slots_);
}

void request_gate::take_slot(const request_id& id, boot_time now) {
    in_upstream_.emplace(id, now);
}

void request_gate::observe_answer(boot_clock::duration duration) {
    // Follows a change of the answer time within about ten requests.
    constexpr boot_clock::rep weight = 8;
    if (!answer_time_) {
        answer_time_ = duration;
        return;
    }
    *answer_time_ += (duration - *answer_time_) / weight;
}

std::vector<gate_step> request_gate::refuse_waiting(refusal reason) {
    std::vector<gate_step> steps;
    while (!waiting_.empty()) {
        steps.emplace_back(request_refused{pop_waiting(), reason});
    }
    return steps;
}

std::vector<gate_step> request_gate::serve_waiting(boot_time now) {
    std::vector<gate_step> steps;
    while (!waiting_.empty()) {
        const bool too_late = waiting_.begin()->first.first <= now;
        if (!too_late && !slot_is_free()) {
            break;
        }
        const request_id id = pop_waiting();
        if (too_late) {
            steps.emplace_back(request_refused{id, refusal::deadline});
            continue;
        }
        take_slot(id, now);
        steps.emplace_back(request_admitted{id});
    }
    return steps;
}

request_id request_gate::pop_waiting() {
    const auto first = waiting_.begin();
    request_id id = first->second;
    waiting_positions_.erase(id);
    waiting_.erase(first);
    return id;
}

void request_gate::forget_ids(boot_time now) {
    while (!seen_deadlines_.empty() && seen_deadlines_.begin()->first < now) {
        seen_.erase(seen_deadlines_.begin()->second);
        seen_deadlines_.erase(seen_deadlines_.begin());
    }
}

} // namespace egretstile
