#include "jobs/leader_access.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

/// Covers the usual answer times of the store; the entry that asks waits a little longer.
constexpr milliseconds key_creation_timeout{800};

wire::job_state_reply answer_query(const job_leader& leader, const wire::job_state_query& query) {
    wire::job_state_reply answer;
    answer.call_id = query.call_id;
    const std::optional<job_state> state = leader.state_of(query.job);
    answer.known = state.has_value() && leader.is_serving();
    answer.state = state.value_or(job_state::queued);
    return answer;
}

wire::pending_jobs_reply answer_pending(const job_leader& leader,
                                        const wire::pending_jobs_query& query) {
    const std::size_t count = leader.pending(query.queue);
    const unstarted_jobs unstarted = leader.scheduler().jobs().count_unstarted(query.queue);
    write_log(log_part::leader, log_level::info, "Counted the pending jobs of a queue.",
              "queue=" + query.queue + " pending=" + std::to_string(count) + " ordered=" +
                  std::to_string(unstarted.ordered) + " epoch=" + std::to_string(leader.epoch()) +
                  " serving=" + (leader.is_serving() ? "1" : "0"));
    return {query.call_id, leader.is_serving(), count};
}

} // namespace

leader_access::leader_access(event_loop& loop, leader_link& link)
    : loop_(loop)
    , link_(link) {}

template <typename Callback>
void leader_access::schedule_timeout(std::map<std::uint64_t, Callback>& calls,
                                     std::uint64_t call_id, milliseconds timeout) {
    loop_.call_at(boot_now() + timeout, [&calls, call_id] {
        const auto found = calls.find(call_id);
        if (found != calls.end()) {
            const Callback done = std::move(found->second);
            calls.erase(found);
            done(std::nullopt);
        }
    });
}

void leader_access::query_state(const job_id& id, milliseconds timeout, state_callback done) {
    const wire::job_state_query query{++last_call_id_, id};
    if (local_leader_ != nullptr) {
        done(answer_query(*local_leader_, query));
        return;
    }
    if (!link_.send(query)) {
        done(std::nullopt);
        return;
    }
    state_calls_[query.call_id] = std::move(done);
    schedule_timeout(state_calls_, query.call_id, timeout);
}

void leader_access::query_pending_count(const std::string& queue, milliseconds timeout,
                                        count_callback done) {
    const wire::pending_jobs_query query{++last_call_id_, queue};
    if (local_leader_ != nullptr) {
        const wire::pending_jobs_reply answer = answer_pending(*local_leader_, query);
        done(answer.known ? std::optional<std::uint64_t>(answer.count) : std::nullopt);
        return;
    }
    if (!link_.send(query)) {
        done(std::nullopt);
        return;
    }
    count_calls_[query.call_id] = std::move(done);
    schedule_timeout(count_calls_, query.call_id, timeout);
}

void leader_access::create_job_key(const infrastructure::store_write& write,
                                   revision_number config_revision, milliseconds timeout,
                                   create_callback done) {
    const wire::create_key request{++last_call_id_, write.key, write.value, config_revision};
    if (!can_create_key() || !link_.send(request)) {
        done(wire::create_outcome::not_created);
        return;
    }
    create_calls_[request.call_id] =
        [done = std::move(done)](std::optional<wire::create_outcome>&& outcome) {
            done(outcome.value_or(wire::create_outcome::unknown));
        };
    schedule_timeout(create_calls_, request.call_id, timeout);
}

void leader_access::notify_accepted(const job_spec& job) {
    if (local_leader_ != nullptr) {
        local_leader_->add_job(job);
    } else {
        link_.send(wire::job_accepted{job});
    }
}

void leader_access::notify_cancelled(const job_id& id) {
    if (local_leader_ != nullptr) {
        local_leader_->cancel_job(id);
    } else {
        link_.send(wire::job_cancelled{id});
    }
}

void leader_access::handle_message(const wire::message& message) {
    if (const wire::job_state_reply* const state = std::get_if<wire::job_state_reply>(&message)) {
        const auto found = state_calls_.find(state->call_id);
        if (found != state_calls_.end()) {
            const state_callback done = std::move(found->second);
            state_calls_.erase(found);
            done(*state);
        }
    } else if (const wire::pending_jobs_reply* const pending =
                   std::get_if<wire::pending_jobs_reply>(&message)) {
        const auto found = count_calls_.find(pending->call_id);
        if (found != count_calls_.end()) {
            const count_callback done = std::move(found->second);
            count_calls_.erase(found);
            done(pending->known ? std::optional<std::uint64_t>(pending->count) : std::nullopt);
        }
    } else if (const wire::create_key_reply* const created =
                   std::get_if<wire::create_key_reply>(&message)) {
        const auto found = create_calls_.find(created->call_id);
        if (found != create_calls_.end()) {
            const auto done = std::move(found->second);
            create_calls_.erase(found);
            done(created->outcome);
        }
    }
}

wire::create_outcome outcome_of_conflict(const infrastructure::store_conflict& conflict,
                                         const std::string& key, const std::string& config_key,
                                         revision_number config_revision) {
    const infrastructure::store_item* const item = find_item(conflict, key);
    if (config_revision == 0 || (item != nullptr && item->revision != 0)) {
        return wire::create_outcome::existed;
    }
    const infrastructure::store_item* const config = find_item(conflict, config_key);
    // A store that names neither has not told why it refused.
    return config != nullptr && config->revision != config_revision
               ? wire::create_outcome::config_changed
               : wire::create_outcome::unknown;
}

void create_key_for_entry(infrastructure::coordination_store& store, const std::string& config_key,
                          const wire::create_key& request,
                          std::function<void(const wire::message&)> reply) {
    using namespace infrastructure;
    if (request.key.compare(0, store_keys::job_prefix.size(), store_keys::job_prefix) != 0) {
        write_log(log_part::store, log_level::warning,
                  "Refused to create a key for an entry: it is not a key of a job.",
                  "key=" + request.key);
        reply(wire::create_key_reply{request.call_id, wire::create_outcome::not_created});
        return;
    }
    store_transaction transaction;
    transaction.expected = {{request.key, 0}};
    if (request.config_revision != 0) {
        transaction.expected.push_back({config_key, request.config_revision});
    }
    transaction.writes = {{request.key, request.value, no_lease}};
    store.commit(
        transaction, key_creation_timeout,
        [request, config_key, reply = std::move(reply)](
            std::variant<store_commit, store_conflict, store_error>&& result) {
            wire::create_outcome outcome = wire::create_outcome::created;
            if (const store_conflict* const conflict = std::get_if<store_conflict>(&result)) {
                outcome = outcome_of_conflict(*conflict, request.key, config_key,
                                              request.config_revision);
            } else if (const store_error* const error = std::get_if<store_error>(&result)) {
                outcome = *error == store_error::no_answer ? wire::create_outcome::unknown
                                                           : wire::create_outcome::not_created;
            }
            write_log(log_part::store, log_level::info, "Tried to create a key for an entry.",
                      "key=" + request.key +
                          " outcome=" + std::string(name_of(wire::create_outcome_names, outcome)));
            reply(wire::create_key_reply{request.call_id, outcome});
        });
}

std::optional<wire::message> handle_entry_message(job_leader& leader,
                                                  const wire::message& message) {
    if (const wire::job_accepted* const accepted = std::get_if<wire::job_accepted>(&message)) {
        leader.add_job(accepted->job);
    } else if (const wire::job_cancelled* const cancelled =
                   std::get_if<wire::job_cancelled>(&message)) {
        leader.cancel_job(cancelled->job);
    } else if (const wire::job_state_query* const query =
                   std::get_if<wire::job_state_query>(&message)) {
        return answer_query(leader, *query);
    } else if (const wire::pending_jobs_query* const pending =
                   std::get_if<wire::pending_jobs_query>(&message)) {
        return answer_pending(leader, *pending);
    }
    return std::nullopt;
}

} // namespace egretstile::daemon
