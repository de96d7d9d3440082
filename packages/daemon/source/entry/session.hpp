#pragma once

#include "net/blocking_pool.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/infrastructure/key_value/key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace egretstile::daemon {

/// Key of an entry's session at the key-value service.
std::string session_key(const entry_id& entry);

/// The session of this entry at the key-value service: a lease, and a key that exists as long as
/// the lease. After the lease has ended, a new session is opened with a new entry id, so that an id
/// whose key no longer exists is never used again. For the event loop's thread only. Calls to the
/// service run on a separate thread, because a renewal must not wait behind other calls.
class session {
public:
    struct handlers {
        /// A session with this id was opened by a call sent at `sent_at`.
        std::function<void(const entry_id&, boot_time sent_at)> on_opened;
        /// A renewal sent at `sent_at` succeeded.
        std::function<void(boot_time sent_at)> on_renewed;
        /// The lease has ended. A new session is opened without further action.
        std::function<void()> on_lost;
    };

    session(event_loop& loop, infrastructure::key_value_store& store, const lease_terms& terms,
            const std::string& entry_name, handlers callbacks);

    /// Opens the session, and from then on renews it or opens a new one.
    void start();

    bool is_open() const { return lease_.has_value(); }

    const entry_id& id() const { return id_; }

    /// Revokes the lease, so that other entries need not wait until it expires, then calls `done`,
    /// also when the service does not answer.
    void close(std::function<void()> done);

private:
    void maintain();
    void open();
    void apply_open_result(const entry_id& id,
                           const infrastructure::store_result<infrastructure::lease_id>& result,
                           boot_time sent_at);
    void renew();
    void apply_renewal_result(const infrastructure::store_result<std::monostate>& result,
                              boot_time sent_at);
    entry_id next_id();

    event_loop& loop_;
    infrastructure::key_value_store& store_;
    lease_terms terms_;
    std::string entry_name_;
    std::string process_tag_;
    handlers handlers_;
    entry_id id_;
    std::optional<infrastructure::lease_id> lease_;
    std::uint32_t sessions_opened_{0};
    bool call_in_flight_{false};
    bool closing_{false};
    blocking_pool calls_{1};
};

} // namespace egretstile::daemon
