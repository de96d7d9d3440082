#pragma once

#include "net/blocking_pool.hpp"

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/shard/member_list.hpp>
#include <egretstile/infrastructure/key_value/key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// The entries of the deployment, from the member list under the key `members` of the key-value
/// service. Once a second it reads the list, adds the row of this entry when it is missing, removes
/// rows whose session has ended, and records which sessions have ended. For the event loop's thread
/// only.
class member_directory {
public:
    /// `on_changed` is called after each change of the live members.
    member_directory(event_loop& loop, infrastructure::key_value_store& store,
                     std::function<void()> on_changed);

    /// Starts the periodic refresh.
    void start();

    /// Sets the row that the list has to contain from now on. It replaces the former row of this
    /// process, whose session counts as ended.
    void publish_self(const member& self);
    /// Removes the row of this process from the list, then calls `done`, also when the service does
    /// not answer.
    void remove_self(std::function<void()> done);

    /// Members whose session is not known to have ended.
    const std::vector<member>& live() const { return live_; }

    std::vector<entry_id> live_ids() const;

    /// Also checks the session of `entry` at each refresh until it has ended. For an entry that may
    /// not be in the list, for example the recorded owner of a shard.
    void watch_session(const entry_id& entry);

    /// Whether the session of `entry` has ended. This is final, because an entry id is used for one
    /// session only.
    bool session_ended(const entry_id& entry) const { return ended_.count(entry) != 0; }

    /// Whether the list has been read at least once.
    bool is_loaded() const { return loaded_; }

private:
    struct refresh_result {
        /// Nothing when the list could not be read.
        std::optional<member_list> members;
        std::set<entry_id> ended;
    };

    void refresh();
    /// Reads the list and the sessions and corrects the list. Blocks for calls to the key-value
    /// service.
    refresh_result refresh_blocking(std::optional<member> self, const std::set<entry_id>& watched,
                                    std::set<entry_id> ended);
    /// Nothing when the key-value service does not answer.
    std::optional<bool> session_exists(const entry_id& entry);
    void apply_refresh(const refresh_result& result);
    void remove_self_blocking(const member& self);

    event_loop& loop_;
    infrastructure::key_value_store& store_;
    std::function<void()> on_changed_;
    std::optional<member> self_;
    std::vector<member> live_;
    std::set<entry_id> watched_;
    std::set<entry_id> ended_;
    bool loaded_{false};
    bool call_in_flight_{false};
    blocking_pool calls_{1};
};

} // namespace egretstile::daemon
