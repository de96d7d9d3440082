#pragma once

#include "jobs/job_leader.hpp"
#include "jobs/leader_link.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Asks the leader about jobs, whether this process leads or another. For the event loop's thread.
class leader_access {
public:
    using state_callback = std::function<void(std::optional<wire::job_answer>&&)>;
    using count_callback = std::function<void(std::optional<std::uint64_t>&&)>;
    using create_callback = std::function<void(wire::create_outcome)>;

    /// `link` must outlive this object.
    leader_access(event_loop& loop, leader_link& link);

    /// The leader in this process; null: it does not lead.
    void set_local(job_leader* leader) { local_ = leader; }

    epoch_number epoch() const { return local_ != nullptr ? local_->epoch() : link_.epoch(); }

    /// Nothing when the leader does not answer within `timeout`.
    void ask_state(const job_id& id, milliseconds timeout, state_callback done);
    void ask_pending(const std::string& queue, milliseconds timeout, count_callback done);

    /// Whether the leader is another process to which this one is connected.
    bool can_create_key() const { return local_ == nullptr && link_.is_open(); }

    /// Lets the leader create a key of a job in the store. Without an answer within `timeout` the
    /// outcome is unknown.
    void create_job_key(const std::string& key, const std::string& value, milliseconds timeout,
                        create_callback done);
    /// Tells the leader; a lost message is made up for by its watch.
    void tell_accepted(const job_spec& job);
    void tell_cancelled(const job_id& id);

    /// A message from the leader.
    void take_message(const wire::message& message);

private:
    template <typename Callback>
    void expire_later(std::map<std::uint64_t, Callback>& calls, std::uint64_t call_id,
                      milliseconds timeout);

    event_loop& loop_;
    leader_link& link_;
    job_leader* local_{nullptr};
    std::uint64_t last_call_{0};
    std::map<std::uint64_t, state_callback> state_calls_;
    std::map<std::uint64_t, count_callback> count_calls_;
    std::map<std::uint64_t, std::function<void(std::optional<wire::create_outcome>&&)>>
        create_calls_;
};

/// Creates the key at the store for another entry. `reply` is called once. Only keys of jobs are
/// created.
void create_for_entry(infrastructure::coordination_store& store, const wire::create_key& order,
                      std::function<void(const wire::message&)> reply);

/// The leader's answers to an entry's messages; nothing for other messages.
std::optional<wire::message> answer_entry(job_leader& leader, const wire::message& message);

} // namespace egretstile::daemon
