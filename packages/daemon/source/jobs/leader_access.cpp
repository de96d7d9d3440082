#include "jobs/leader_access.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

wire::job_answer answer_query(const job_leader& leader, const wire::job_query& query) {
    wire::job_answer answer;
    answer.call_id = query.call_id;
    const std::optional<job_state> state = leader.state_of(query.job);
    answer.known = state.has_value() && leader.is_serving();
    answer.state = state.value_or(job_state::queued);
    return answer;
}

wire::pending_answer answer_pending(const job_leader& leader, const wire::pending_query& query) {
    return {query.call_id, leader.is_serving(), leader.pending(query.queue)};
}

} // namespace

leader_access::leader_access(event_loop& loop, leader_link& link)
    : loop_(loop)
    , link_(link) {}

template <typename Callback>
void leader_access::expire_later(std::map<std::uint64_t, Callback>& calls, std::uint64_t call_id,
                                 milliseconds timeout) {
    loop_.call_at(boot_now() + timeout, [&calls, call_id] {
        const auto found = calls.find(call_id);
        if (found != calls.end()) {
            const Callback done = std::move(found->second);
            calls.erase(found);
            done(std::nullopt);
        }
    });
}

void leader_access::ask_state(const job_id& id, milliseconds timeout, state_callback done) {
    const wire::job_query query{++last_call_, id};
    if (local_ != nullptr) {
        done(answer_query(*local_, query));
        return;
    }
    if (!link_.send(query)) {
        done(std::nullopt);
        return;
    }
    state_calls_[query.call_id] = std::move(done);
    expire_later(state_calls_, query.call_id, timeout);
}

void leader_access::ask_pending(const std::string& queue, milliseconds timeout,
                                count_callback done) {
    const wire::pending_query query{++last_call_, queue};
    if (local_ != nullptr) {
        const wire::pending_answer answer = answer_pending(*local_, query);
        done(answer.known ? std::optional<std::uint64_t>(answer.count) : std::nullopt);
        return;
    }
    if (!link_.send(query)) {
        done(std::nullopt);
        return;
    }
    count_calls_[query.call_id] = std::move(done);
    expire_later(count_calls_, query.call_id, timeout);
}

void leader_access::tell_accepted(const job_spec& job) {
    if (local_ != nullptr) {
        local_->add_job(job);
    } else {
        link_.send(wire::job_accepted{job});
    }
}

void leader_access::tell_cancelled(const job_id& id) {
    if (local_ != nullptr) {
        local_->cancel_job(id);
    } else {
        link_.send(wire::job_cancelled{id});
    }
}

void leader_access::take_message(const wire::message& message) {
    if (const wire::job_answer* const state = std::get_if<wire::job_answer>(&message)) {
        const auto found = state_calls_.find(state->call_id);
        if (found != state_calls_.end()) {
            const state_callback done = std::move(found->second);
            state_calls_.erase(found);
            done(*state);
        }
    } else if (const wire::pending_answer* const pending =
                   std::get_if<wire::pending_answer>(&message)) {
        const auto found = count_calls_.find(pending->call_id);
        if (found != count_calls_.end()) {
            const count_callback done = std::move(found->second);
            count_calls_.erase(found);
            done(pending->known ? std::optional<std::uint64_t>(pending->count) : std::nullopt);
        }
    }
}

std::optional<wire::message> answer_entry(job_leader& leader, const wire::message& message) {
    if (const wire::leader_ping* const ping = std::get_if<wire::leader_ping>(&message)) {
        return wire::leader_pong{ping->number, leader.epoch(), leader.is_serving()};
    }
    if (const wire::job_accepted* const accepted = std::get_if<wire::job_accepted>(&message)) {
        leader.add_job(accepted->job);
    } else if (const wire::job_cancelled* const cancelled =
                   std::get_if<wire::job_cancelled>(&message)) {
        leader.cancel_job(cancelled->job);
    } else if (const wire::job_query* const query = std::get_if<wire::job_query>(&message)) {
        return answer_query(leader, *query);
    } else if (const wire::pending_query* const pending =
                   std::get_if<wire::pending_query>(&message)) {
        return answer_pending(leader, *pending);
    }
    return std::nullopt;
}

} // namespace egretstile::daemon
