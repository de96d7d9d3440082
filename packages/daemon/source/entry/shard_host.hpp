#pragma once

#include "net/blocking_pool.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/core/shard/shard_ownership.hpp>
#include <egretstile/core/shard/shard_record.hpp>
#include <egretstile/core/task/shard_ledger.hpp>
#include <egretstile/infrastructure/key_value/key_value_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace egretstile::daemon {

/// One shard in one entry process: claims the shard, has its ledger while the entry owns it, and
/// writes the ledger's commits to the shard's record, one at a time. For the event loop's thread
/// only.
class shard_host {
public:
    /// `on_committed` is called with each key whose committed state changed. A commit is started at
    /// least `commit_interval` after the one before. The interval does not depend on how many
    /// shards this entry owns, so that all shards together stay below the write rate of the
    /// key-value service.
    shard_host(event_loop& loop, infrastructure::key_value_store& store, blocking_pool& calls,
               shard_number shard, const lease_terms& terms, const ledger_limits& limits,
               milliseconds commit_interval, std::function<void(const task_key&)> on_committed);

    shard_number number() const { return shard_; }

    epoch_number epoch() const { return ownership_.epoch(); }

    /// Owner in the shard's record when it was last read or claimed; empty: none, or not read.
    const entry_id& recorded_owner() const { return recorded_owner_; }

    bool is_owned() const { return ledger_ != nullptr; }

    /// Whether the shard is owned and not being released.
    bool can_accept_tasks() const {
        return ledger_ != nullptr && ownership_.state() == ownership_state::owned;
    }

    /// Whether runs may be granted and commands sent. False while the shard is being released: the
    /// next owner assumes that no grant was given after its claim, and it may claim the shard
    /// before this entry receives the answer to the release.
    bool may_grant(boot_time now) const { return ledger_ != nullptr && ownership_.may_grant(now); }

    /// Precondition: `is_owned`.
    shard_ledger& ledger() { return *ledger_; }

    const shard_ledger& ledger() const { return *ledger_; }

    /// Starts a new session of this entry under the id `self`. What was owned under the former id
    /// is no longer owned.
    void set_self(const entry_id& self);
    /// The session has ended: the shard is no longer owned, and results of calls in flight are
    /// ignored.
    void end_session();

    /// A renewal of the session sent at `sent_at` succeeded.
    void session_confirmed(boot_time sent_at);

    /// When this entry is `preferred` and does not own the shard, reads the record and claims the
    /// shard if the record names no owner, this entry, or an owner whose session has ended. When
    /// another entry is preferred, or after `release`, starts the release of an owned shard once
    /// that is safe. `session_ended` returns whether an entry's session has ended. Call about once
    /// a second.
    void maintain(const std::optional<entry_id>& preferred,
                  const std::function<bool(const entry_id&)>& session_ended);

    /// From now on the shard is released and not claimed, whichever entry is preferred; for a
    /// planned stop.
    void release() { release_requested_ = true; }

    /// Advances the ledger's time, and starts the next write: one whose outcome is unknown again,
    /// otherwise a commit, otherwise the release.
    void advance();

private:
    using read_result = infrastructure::store_result<infrastructure::stored_value>;
    using write_result = infrastructure::store_result<revision_number>;

    void read_record(const std::function<bool(const entry_id&)>& session_ended);
    void apply_record(const read_result& read,
                      const std::function<bool(const entry_id&)>& session_ended);
    void claim();
    void claim_written(const shard_record& claimed, const entry_id& previous_owner,
                       revision_number revision, boot_time sent_at);

    /// A write that is repeated with the same bytes until its outcome is known.
    struct pending_write {
        std::string bytes;
        std::function<void(boot_time sent_at, revision_number)> on_written;
        /// The write had no effect and will have none.
        std::function<void()> on_failed;
        /// Another owner wrote the record.
        std::function<void()> on_lost;
    };

    struct write_attempt {
        write_result written{infrastructure::store_error::unavailable};
        /// The record, read after a write whose outcome is unknown.
        read_result read{infrastructure::store_error::unavailable};
        /// Time at which the write, or the read after it, was sent.
        boot_time sent_at;
    };

    void write_commit(const ledger_commit& commit);
    void write_release();
    void commit_written(std::uint64_t number, revision_number revision, boot_time sent_at);
    /// Ownership has ended: drops the ledger and ignores the results of calls in flight.
    void end_ownership(const std::string& reason);
    void write(pending_write pending);
    void handle_write_result(const pending_write& pending, const write_attempt& attempt);
    /// Starts no write for a short time.
    void back_off();

    event_loop& loop_;
    infrastructure::key_value_store& store_;
    blocking_pool& calls_;
    shard_number shard_;
    lease_terms terms_;
    ledger_limits limits_;
    milliseconds commit_interval_;
    boot_time next_commit_{};
    std::function<void(const task_key&)> on_committed_;
    shard_ownership ownership_;
    std::unique_ptr<shard_ledger> ledger_;
    entry_id self_;
    entry_id recorded_owner_;
    std::optional<shard_record> record_;
    revision_number revision_{0};
    /// Write whose outcome is unknown; no other write may be sent before it is resolved.
    std::optional<pending_write> unresolved_write_;
    bool call_in_flight_{false};
    bool release_requested_{false};
    /// Number of the session or ownership. Results of calls with an earlier number are ignored.
    std::uint64_t generation_{0};
    boot_time backoff_until_{};
    boot_time next_tick_{};
};

} // namespace egretstile::daemon
