#pragma once

#include "entry/task_service.hpp"
#include "net/frame_client.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/shard/member_list.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Connections to the other entries, over which calls about tasks are forwarded to the owners of
/// their shards. For the event loop's thread only.
class peer_links {
public:
    using answer_callback = task_service::answer_callback;

    peer_links(event_loop& loop, const entry_settings& settings);

    /// Opens connections to new members other than `self`, and closes those to former members.
    /// Calls to a former member end as `unknown`.
    void set_members(const std::vector<member>& members, const entry_id& self);
    /// Reconnects as needed and ends the calls whose deadline has passed. Call several times a
    /// second.
    void maintain();

    /// Forward a call to `entry`. `done` is called exactly once: with the answer of the entry,
    /// `not_run` when nothing was sent, or `unknown` when there is no answer by `deadline` or the
    /// connection is lost.
    void submit(const entry_id& entry, const task_spec& spec, boot_time deadline,
                const answer_callback& done);
    void query(const entry_id& entry, const task_key& key, boot_time deadline,
               const answer_callback& done);
    void cancel(const entry_id& entry, const task_key& key, boot_time deadline,
                const answer_callback& done);

private:
    struct pending_call {
        entry_id entry;
        boot_time deadline;
        answer_callback done;
    };

    void send(const entry_id& entry, std::uint64_t call_id, const wire::message& message,
              boot_time deadline, const answer_callback& done);
    void reply_received(wire::forward_reply reply);
    /// Ends the pending calls to `entry` as `unknown`.
    void fail_calls_to(const entry_id& entry);
    void finish(std::uint64_t call_id, const task_answer& answer);

    event_loop& loop_;
    const entry_settings& settings_;
    entry_id self_;
    std::map<entry_id, std::unique_ptr<frame_client>> links_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_call_{1};
};

} // namespace egretstile::daemon
