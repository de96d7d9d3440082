#pragma once

#include "jobs/job_leader.hpp"
#include "jobs/leader_link.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Sends queries and notifications about jobs to the leader, which may be this process or another.
/// For the event loop's thread only.
class leader_access {
public:
    using state_callback = std::function<void(std::optional<wire::job_state_reply>&&)>;
    using count_callback = std::function<void(std::optional<std::uint64_t>&&)>;
    using create_callback = std::function<void(wire::create_outcome)>;

    /// `link` must outlive this object.
    leader_access(event_loop& loop, leader_link& link);

    /// Sets the leader in this process; null when this process does not lead.
    void set_local_leader(job_leader* leader) { local_leader_ = leader; }

    epoch_number epoch() const {
        return local_leader_ != nullptr ? local_leader_->epoch() : link_.epoch();
    }

    /// `done` gets nothing when the leader cannot be reached or does not answer within `timeout`.
    void query_state(const job_id& id, milliseconds timeout, state_callback done);
    void query_pending_count(const std::string& queue, milliseconds timeout, count_callback done);

    /// Whether the leader is another process to which this one is connected.
    bool can_create_key() const { return local_leader_ == nullptr && link_.is_open(); }

    /// Has the leader create a key of a job in the store, under the configuration of this revision
    /// (zero: under any). The outcome is `not_created` when the request cannot be sent, and
    /// `unknown` without an answer within `timeout`.
    void create_job_key(const infrastructure::store_write& write, revision_number config_revision,
                        milliseconds timeout, create_callback done);
    /// Notify the leader of a stored job or cancellation before its watch shows the key. A lost
    /// message does no harm, because the watch follows.
    void notify_accepted(const job_spec& job);
    void notify_cancelled(const job_id& id);

    /// Passes an answer from the leader to the callback that waits for it.
    void handle_message(const wire::message& message);

private:
    template <typename Callback>
    void schedule_timeout(std::map<std::uint64_t, Callback>& calls, std::uint64_t call_id,
                          milliseconds timeout);

    event_loop& loop_;
    leader_link& link_;
    job_leader* local_leader_{nullptr};
    std::uint64_t last_call_id_{0};
    std::map<std::uint64_t, state_callback> state_calls_;
    std::map<std::uint64_t, count_callback> count_calls_;
    std::map<std::uint64_t, std::function<void(std::optional<wire::create_outcome>&&)>>
        create_calls_;
};

/// What a conflict tells of a key that was to be created while `config_key` has the revision
/// `config_revision` (zero: any). Thread-safe.
wire::create_outcome outcome_of_conflict(const infrastructure::store_conflict& conflict,
                                         const std::string& key, const std::string& config_key,
                                         revision_number config_revision);

/// Creates a key in the store for an entry that cannot reach the store itself. Refuses keys other
/// than those of jobs. `config_key` holds the configuration. `reply` is called once with the
/// outcome.
void create_key_for_entry(infrastructure::coordination_store& store, const std::string& config_key,
                          const wire::create_key& request,
                          std::function<void(const wire::message&)> reply);

/// Handles a message from an entry at the leader and returns the answer; nothing for messages
/// without an answer.
std::optional<wire::message> handle_entry_message(job_leader& leader, const wire::message& message);

} // namespace egretstile::daemon
