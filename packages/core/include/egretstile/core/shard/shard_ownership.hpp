#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/terms.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace egretstile {

enum class ownership_state : std::uint8_t {
    other,    ///< Another entry owns the shard, or none.
    claiming, ///< A claim is being written.
    owned,
    releasing ///< Owned, but to be given to another entry: no new starts.
};

inline constexpr std::array<enum_name<ownership_state>, 4> ownership_state_names{
    {{ownership_state::other, "other"},
     {ownership_state::claiming, "claiming"},
     {ownership_state::owned, "owned"},
     {ownership_state::releasing, "releasing"}}};

/// Ownership of one shard as one entry sees it. Makes no calls. Not thread-safe.
class shard_ownership {
public:
    shard_ownership(shard_number shard, entry_id self, const lease_terms& terms);

    ownership_state state() const { return state_; }

    epoch_number epoch() const { return epoch_; }

    shard_number shard() const { return shard_; }

    /// Whether to claim now: this entry is the preferred one, does not own the shard, and the
    /// record names no owner, this entry (a claim or release whose answer was lost), or an owner
    /// whose session is known to be gone (read after the record was read).
    bool should_claim(const entry_id& preferred, const entry_id& recorded_owner,
                      bool owner_session_gone) const;

    /// A claim with this epoch is being written. Precondition: state is `other`, and `epoch` is
    /// above the recorded one.
    void claim_sent(epoch_number epoch, boot_time now);

    /// The claim is confirmed. `previous_owner` is empty when the shard was released or new: then
    /// silent runs end after the grant term, otherwise after ownership term plus grant term.
    void claim_confirmed(boot_time sent_at, boot_time now, const entry_id& previous_owner);
    /// The claim was refused or lost: another entry owns the shard.
    void claim_lost();

    /// A commit of this shard, a renewal of the session lease, or a read of the record that still
    /// names this entry and epoch, sent at `sent_at`, succeeded. Ignored unless the shard is owned.
    void confirmed(boot_time sent_at);

    /// Ownership is gone: a commit met another revision or the session lease has ended.
    void lost();

    /// The shard is to be given up: from now on nothing is granted, so that the next owner waits
    /// only for the grant term. Call only when `may_release`. Ends with `lost` after the release
    /// was written. Ignored unless the state is `owned`.
    void release();

    /// Whether a release at `now` is safe. After a takeover, runs that the former owner granted may
    /// execute until `silent_runs_end`, but the entry that claims a released shard waits only for
    /// the grant term. An entry that stops earlier ends its session without a release.
    bool may_release(boot_time now) const;

    /// Whether the owner may grant runs and send starts at `now`: less than the ownership term has
    /// passed since the latest confirmation was sent.
    bool may_grant(boot_time now) const;

    /// Time before which a run that no agent reports since the claim may still execute.
    boot_time silent_runs_end() const { return silent_runs_end_; }

private:
    shard_number shard_;
    entry_id self_;
    lease_terms terms_;
    ownership_state state_{ownership_state::other};
    epoch_number epoch_{0};
    std::optional<boot_time> confirmed_at_;
    boot_time silent_runs_end_{};
};

} // namespace egretstile
