#include <egretstile/core/plan/plan_view.hpp>

namespace egretstile {

bool plan_view::confirm(revision_number revision, boot_time confirmed_at) {
    if (revision < revision_) {
        return false;
    }
    const bool rose = revision > revision_;
    revision_ = revision;
    // Revisions only rise, so a higher one was current after every confirmation of a lower one:
    // the later of both times holds for it too.
    if (!confirmed_at_ || *confirmed_at_ < confirmed_at) {
        confirmed_at_ = confirmed_at;
    }
    return rose;
}

bool plan_view::is_fresh(boot_time now, milliseconds bound) const {
    return confirmed_at_ && now - *confirmed_at_ <= bound;
}

} // namespace egretstile
