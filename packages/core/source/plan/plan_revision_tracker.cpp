#include <egretstile/core/plan/plan_revision_tracker.hpp>

namespace egretstile {

bool plan_revision_tracker::confirm(revision_number revision, boot_time confirmed_at) {
    if (revision < revision_) {
        return false;
    }
    const bool increased = revision > revision_;
    revision_ = revision;
    // Revisions only increase, so the higher revision was confirmed after all confirmations of
    // lower ones. The later of the two times therefore also holds for it.
    if (!confirmed_at_ || *confirmed_at_ < confirmed_at) {
        confirmed_at_ = confirmed_at;
    }
    return increased;
}

bool plan_revision_tracker::is_fresh(boot_time now, milliseconds max_age) const {
    return confirmed_at_ && now - *confirmed_at_ <= max_age;
}

} // namespace egretstile
