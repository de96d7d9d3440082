#include <egretstile/core/job/closed_domains.hpp>

#include <algorithm>

namespace egretstile {

std::set<failure_domain_name> closed_domains::names() const {
    std::set<failure_domain_name> names;
    for (const auto& [name, revision] : known_.closures) {
        names.insert(name);
    }
    return names;
}

void closed_domains::close(const failure_domain_name& domain, revision_number revision) {
    revision_number& known = known_.closures[domain];
    known = std::max(known, revision);
}

void closed_domains::merge(const closed_domain_set& other) {
    std::erase_if(known_.closures, [&other](const auto& closure) {
        return closure.second <= other.as_of && other.closures.count(closure.first) == 0;
    });
    for (const auto& [name, revision] : other.closures) {
        if (is_closed(name) || revision > known_.as_of) {
            close(name, revision);
        }
    }
    known_.as_of = std::max(known_.as_of, other.as_of);
}

void closed_domains::confirm(boot_time time) {
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, time) : time;
}

} // namespace egretstile
