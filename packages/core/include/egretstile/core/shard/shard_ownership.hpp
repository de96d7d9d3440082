#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>
#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace egretstile {

/// State of the ownership of a shard, from the point of view of one entry.
enum class ownership_state : std::uint8_t {
    other,    ///< Another entry owns the shard, or no entry does.
    claiming, ///< The claim is being written to the key-value service.
    owned,
    releasing ///< Still owned, but to be handed to another entry; nothing is granted or started.
};

inline constexpr std::array<enum_name<ownership_state>, 4> ownership_state_names{
    {{ownership_state::other, "other"},
     {ownership_state::claiming, "claiming"},
     {ownership_state::owned, "owned"},
     {ownership_state::releasing, "releasing"}}};

/// Decides for one entry whether it may claim, use and release one shard. Makes no calls. Not
/// thread-safe.
class shard_ownership {
public:
    shard_ownership(shard_number shard, entry_id self, const lease_terms& terms);

    ownership_state state() const { return state_; }

    epoch_number epoch() const { return epoch_; }

    shard_number shard() const { return shard_; }

    /// Whether to claim the shard: this entry is the preferred one, its state is `other`, and the
    /// shard's record names no owner, this entry itself (the answer to its claim or release was
    /// lost), or an owner whose session has ended. `owner_session_ended` must be read after the
    /// record.
    bool should_claim(const entry_id& preferred, const entry_id& recorded_owner,
                      bool owner_session_ended) const;

    /// Records that a claim with this epoch is being written. Precondition: the state is `other`,
    /// and `epoch` is higher than the recorded one.
    void claim_sent(epoch_number epoch, boot_time now);

    /// Records that the claim was written, by a call that was sent at `sent_at`. `previous_owner`
    /// is empty when the shard was released or is new. Runs that no agent reports then count as
    /// ended after the grant term; with a previous owner, after the ownership term plus the grant
    /// term. Both terms are lengthened by the clock margin. Ignored unless the state is `claiming`.
    void claim_confirmed(boot_time sent_at, boot_time now, const entry_id& previous_owner);
    /// Records that the claim was refused or its answer was lost; another entry may own the shard.
    void claim_lost();

    /// Records that a call sent at `sent_at` has proved the ownership: a commit of this shard, a
    /// renewal of the session lease, or a read of the record that still names this entry and epoch.
    /// Ignored unless the state is `owned` or `releasing`.
    void confirmed(boot_time sent_at);

    /// Records the end of the ownership: a commit failed because the record has another revision,
    /// the session lease has ended, or the release was written.
    void lost();

    /// Starts the release of the shard. Nothing is granted from now on, so that the next owner has
    /// to wait only for the grant term. The caller calls `lost` after the release was written.
    /// Precondition: `may_release` is true. Ignored unless the state is `owned`.
    void release();

    /// Whether a release at `now` is safe. After a takeover, runs that the previous owner granted
    /// may execute until `unreported_runs_end`, but the entry that claims a released shard waits
    /// only for the grant term. So a release is safe only when no more than the grant term, with
    /// clock margin, is left until then. An entry that stops earlier ends its session without a
    /// release.
    bool may_release(boot_time now) const;

    /// Whether the entry may grant runs and send starts at `now`: the state is `owned`, and the
    /// latest call that confirmed the ownership was sent less than the ownership term ago.
    bool may_grant(boot_time now) const;

    /// Until this time, a run that no agent has reported since the claim may still execute.
    boot_time unreported_runs_end() const { return silent_runs_end_; }

private:
    shard_number shard_;
    entry_id self_;
    lease_terms terms_;
    ownership_state state_{ownership_state::other};
    epoch_number epoch_{0};
    /// When the latest call that confirmed the ownership was sent.
    std::optional<boot_time> confirmed_at_;
    boot_time silent_runs_end_{};
};

} // namespace egretstile
