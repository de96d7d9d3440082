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

/// The entries of the deployment: keeps this entry's row in the key `members`, removes rows whose
/// session has ended, and knows which sessions have ended. For the event loop's thread only.
class member_directory {
public:
    /// `on_changed` follows each change of the live members.
    member_directory(event_loop& loop, infrastructure::key_value_store& store,
                     std::function<void()> on_changed);

    void start();

    /// Row that must stand in the list from now on; replaces the former row of this process.
    void join(const member& self);
    /// Takes this process's row out; `done` follows, also when the service does not answer.
    void leave(std::function<void()> done);

    /// Members whose session was not found to have ended.
    const std::vector<member>& live() const { return live_; }

    std::vector<entry_id> live_ids() const;

    /// Also watches the session of an entry that is not in the list, for example a shard's owner.
    void watch_session(const entry_id& entry);

    /// Whether the session of this entry has ended for good.
    bool session_ended(const entry_id& entry) const { return ended_.count(entry) != 0; }

    /// Whether the list was read at least once.
    bool known() const { return known_; }

private:
    struct refresh_result {
        std::optional<member_list> members;
        std::set<entry_id> ended;
    };

    void refresh();
    refresh_result refresh_blocking(std::optional<member> self, const std::set<entry_id>& watched,
                                    std::set<entry_id> ended);
    std::optional<bool> session_exists(const entry_id& entry);
    void refreshed(const refresh_result& result);
    void leave_blocking(const member& self);

    event_loop& loop_;
    infrastructure::key_value_store& store_;
    std::function<void()> on_changed_;
    std::optional<member> self_;
    std::vector<member> live_;
    std::set<entry_id> watched_;
    std::set<entry_id> ended_;
    bool known_{false};
    bool call_in_flight_{false};
    blocking_pool calls_{1};
};

} // namespace egretstile::daemon
