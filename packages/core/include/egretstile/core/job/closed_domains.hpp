#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <map>
#include <optional>
#include <set>

namespace egretstile {

/// Failure domains that the operators have taken out of service, as one process has read them.
struct closed_domain_set {
    /// Revision at which the store holds each closure.
    std::map<failure_domain_name, revision_number> closures;
    /// All changes up to this revision are included; later closures may be, too.
    revision_number as_of{0};
};

/// The failure domains that are out of service as far as a process knows from its own reads of the
/// store and from those of other processes, and the time up to which that is complete. Not
/// thread-safe.
class closed_domains {
public:
    const closed_domain_set& known() const { return known_; }

    std::set<failure_domain_name> names() const;

    bool is_closed(const failure_domain_name& domain) const {
        return known_.closures.count(domain) != 0;
    }

    /// Adds a closure that the store holds at this revision.
    void close(const failure_domain_name& domain, revision_number revision);

    /// Removes a closure whose key was seen to be removed from the store.
    void reopen(const failure_domain_name& domain) { known_.closures.erase(domain); }

    /// Adds what another set knows: its closures, and that those it does not contain were removed
    /// by the revision up to which it is complete.
    void merge(const closed_domain_set& other);

    /// Records that every closure that the store acknowledged before `time` is known. Has no effect
    /// for a time before the last one.
    void confirm(boot_time time);

    /// Nothing until the first confirmation.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

private:
    closed_domain_set known_;
    std::optional<boot_time> confirmed_at_;
};

} // namespace egretstile
