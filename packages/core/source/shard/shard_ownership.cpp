#include <egretstile/core/shard/shard_ownership.hpp>

#include <algorithm>
#include <utility>

namespace egretstile {

shard_ownership::shard_ownership(shard_number shard, entry_id self, const lease_terms& terms)
    : shard_(shard)
    , self_(std::move(self))
    , terms_(terms) {}

bool shard_ownership::should_claim(const entry_id& preferred, const entry_id& recorded_owner,
                                   bool owner_session_ended) const {
    if (state_ != ownership_state::other || preferred != self_) {
        return false;
    }
    return recorded_owner.empty() || recorded_owner == self_ || owner_session_ended;
}

void shard_ownership::claim_sent(epoch_number epoch, boot_time /*now*/) {
    state_ = ownership_state::claiming;
    epoch_ = epoch;
    confirmed_at_.reset();
}

void shard_ownership::claim_confirmed(boot_time sent_at, boot_time now,
                                      const entry_id& previous_owner) {
    if (state_ != ownership_state::claiming) {
        return;
    }
    state_ = ownership_state::owned;
    confirmed_at_ = sent_at;
    silent_runs_end_ = now + with_clock_margin(terms_.grant_term);
    if (!previous_owner.empty()) {
        silent_runs_end_ += with_clock_margin(terms_.ownership_term);
    }
}

void shard_ownership::claim_lost() {
    lost();
}

void shard_ownership::confirmed(boot_time sent_at) {
    if (state_ == ownership_state::owned || state_ == ownership_state::releasing) {
        confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
    }
}

void shard_ownership::lost() {
    state_ = ownership_state::other;
    confirmed_at_.reset();
}

void shard_ownership::release() {
    if (state_ == ownership_state::owned) {
        state_ = ownership_state::releasing;
    }
}

bool shard_ownership::may_release(boot_time now) const {
    return state_ == ownership_state::owned &&
           now + with_clock_margin(terms_.grant_term) >= silent_runs_end_;
}

bool shard_ownership::may_grant(boot_time now) const {
    return state_ == ownership_state::owned && confirmed_at_ &&
           now < *confirmed_at_ + terms_.ownership_term;
}

} // namespace egretstile
