#include <egretstile/core/job/late_lease_bound.hpp>

#include <algorithm>

namespace egretstile {

void late_lease_bound::process_replaced() {
    former_sent_at_ = std::max(former_sent_at_, sent_at_);
    sent_at_.reset();
    confirmed_at_.reset();
}

void late_lease_bound::fence_confirmed(boot_time now) {
    if (!confirmed_at_) {
        confirmed_at_ = now;
    }
}

boot_time late_lease_bound::ends_at() const {
    if (!former_sent_at_) {
        return {};
    }
    const boot_time carried_out_until = *former_sent_at_ + late_call_limit_;
    return std::min(carried_out_until, confirmed_at_.value_or(carried_out_until)) + longest_lease_;
}

} // namespace egretstile
