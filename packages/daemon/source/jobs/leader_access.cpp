#include "jobs/leader_access.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

/// The store's longest usual answer; the entry that asks waits a little longer.
constexpr milliseconds relayed_commit_timeout{800};

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

void leader_access::create_job_key(const std::string& key, const std::string& value,
                                   milliseconds timeout, create_callback done) {
    const wire::create_key order{++last_call_, key, value};
    if (!can_create_key() || !link_.send(order)) {
        done(wire::create_outcome::not_created);
        return;
    }
    create_calls_[order.call_id] =
        [done = std::move(done)](std::optional<wire::create_outcome>&& outcome) {
            done(outcome.value_or(wire::create_outcome::unknown));
        };
    expire_later(create_calls_, order.call_id, timeout);
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
    } else if (const wire::create_key_answer* const created =
                   std::get_if<wire::create_key_answer>(&message)) {
        const auto found = create_calls_.find(created->call_id);
        if (found != create_calls_.end()) {
            const auto done = std::move(found->second);
            create_calls_.erase(found);
            done(created->outcome);
        }
    }
}

void create_for_entry(infrastructure::coordination_store& store, const wire::create_key& order,
                      std::function<void(const wire::message&)> reply) {
    using namespace infrastructure;
    if (order.key.compare(0, store_keys::job_prefix.size(), store_keys::job_prefix) != 0) {
        write_log(log_part::store, log_level::warning, "Refused to create a key for an entry.",
                  "key=" + order.key);
        reply(wire::create_key_answer{order.call_id, wire::create_outcome::not_created});
        return;
    }
    store_transaction transaction;
    transaction.expected = {{order.key, 0}};
    transaction.writes = {{order.key, order.value, no_lease}};
    store.commit(
        transaction, relayed_commit_timeout,
        [order, reply = std::move(reply)](
            std::variant<store_commit, store_conflict, store_error>&& result) {
            wire::create_outcome outcome = wire::create_outcome::created;
            if (std::holds_alternative<store_conflict>(result)) {
                outcome = wire::create_outcome::existed;
            } else if (const store_error* const error = std::get_if<store_error>(&result)) {
                outcome = *error == store_error::no_answer ? wire::create_outcome::unknown
                                                           : wire::create_outcome::not_created;
            }
            write_log(log_part::store, log_level::info, "Created a key for an entry.",
                      "key=" + order.key +
                          " outcome=" + std::string(name_of(wire::create_outcome_names, outcome)));
            reply(wire::create_key_answer{order.call_id, outcome});
        });
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
