#pragma once

#include "entry/fleet.hpp"
#include "entry/member_directory.hpp"
#include "entry/shard_host.hpp"
#include "net/blocking_pool.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/task/task.hpp>
#include <egretstile/infrastructure/key_value/key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Answer to a call about one exclusive task.
struct task_answer {
    wire::task_call_outcome outcome{wire::task_call_outcome::unknown};
    std::string reason;
    task_record record;
};

/// Shard of a task. The generations of a standing task, for example `NAME#1` and `NAME#2`, are in
/// the same shard, so that its owner can wait for the end of one before it starts the next.
shard_number shard_of_task(const task_key& key, std::uint32_t shard_count);

/// The exclusive tasks of the shards that this entry owns. For the event loop's thread only.
class task_service {
public:
    using answer_callback = std::function<void(const task_answer&)>;

    task_service(event_loop& loop, infrastructure::key_value_store& store,
                 const entry_settings& settings, fleet& vm_fleet);

    /// A session was opened under the id `self`; nothing is owned yet.
    void session_opened(const entry_id& self, boot_time sent_at);
    /// A renewal of the session that was sent at `sent_at` succeeded; extends ownership.
    void session_renewed(boot_time sent_at);
    /// The session has ended: nothing is owned any more and open calls end as `unknown`.
    void session_lost();

    /// Claims the shards for which this entry is the preferred owner, once their former owner has
    /// released them or its session has ended, and releases the others. Call about once a second.
    void maintain(member_directory& directory);
    /// Advances the ledgers' time, writes commits and sends commands to agents. Call several times
    /// in a heartbeat interval.
    void advance();

    /// Starts to release all shards; for a planned stop.
    void release_all();
    std::size_t owned_shards() const;

    /// Accepts a task in a shard of this entry. `done` is called once: `accepted` when the commit
    /// is confirmed, `conflict` when the key exists with another spec, `not_run` when nothing was
    /// or will be committed, `unknown` when the shard's ownership ends before the commit is
    /// confirmed.
    void submit(const task_spec& spec, answer_callback done);
    /// Answers with the committed state of the task; `unknown` when the shard is not owned here or
    /// the ownership is not confirmed recently enough.
    void query(const task_key& key, const answer_callback& done) const;
    /// Cancels a task. `done` is called once: `accepted` when the commit is confirmed, `not_found`,
    /// or `unknown` when the shard is not owned here or its ownership ends before the commit is
    /// confirmed.
    void cancel(const task_key& key, const answer_callback& done);

    /// Applies the runs of a heartbeat to the owned shards, and adds their grants, stops and
    /// acknowledgements to the reply. Send the reply at once: grants count from `now`.
    void apply_heartbeat(const wire::heartbeat& heartbeat, wire::heartbeat_reply& reply,
                         boot_time now);
    /// Applies the answer to a start from the agent with this incarnation.
    void apply_start_answer(const vm_name& vm, incarnation_number incarnation,
                            const wire::start_reply& reply, boot_time now);

    /// Calls `function` for each owned shard.
    void for_each_owned(const std::function<void(shard_host&)>& function);
    shard_host& shard_of_key(const task_key& key);

private:
    /// Answers the calls that wait for a commit of this key.
    void answer_committed(const task_key& key);
    void send_commands(shard_host& shard, boot_time now);
    void send_command(shard_host& shard, const start_command& command);
    void send_command(shard_host& shard, const stop_command& command);
    /// Answers the waiting calls of `shard` as `unknown`; does nothing while the shard is owned.
    void fail_pending_answers(const shard_host& shard);

    event_loop& loop_;
    const entry_settings& settings_;
    fleet& fleet_;
    blocking_pool calls_;
    std::vector<std::unique_ptr<shard_host>> shards_;
    std::map<task_key, std::vector<answer_callback>> pending_answers_;
    entry_id self_;
};

} // namespace egretstile::daemon
