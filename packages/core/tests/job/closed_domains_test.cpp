#include <egretstile/core/job/closed_domains.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

using names = std::set<failure_domain_name>;

closed_domain_set set_of(std::map<failure_domain_name, revision_number> closures,
                         revision_number as_of) {
    return {std::move(closures), as_of};
}

} // namespace

// Guards against tasks that are started in a closed failure domain by a leader that cannot read the
// store, although another entry has read the closure.
TEST_CASE("a closure that another process has read is adopted") {
    closed_domains domains;
    domains.merge(set_of({{"north", 5}}, 10));
    domains.merge(set_of({{"south", 14}}, 20));
    CHECK(domains.names() == names{"south"});
    domains.merge(set_of({{"south", 14}, {"east", 22}}, 25));
    CHECK(domains.names() == names{"east", "south"});
}

// Guards against a failure domain that is opened again by what a process read before it was closed.
TEST_CASE("an earlier read does not undo a later closure") {
    closed_domains domains;
    domains.merge(set_of({}, 10));
    domains.close("north", 12);
    domains.merge(set_of({}, 11));
    CHECK(domains.is_closed("north"));
    domains.merge(set_of({}, 12));
    CHECK_FALSE(domains.is_closed("north"));
}

// Guards against a failure domain that stays unused because a process that is behind repeats its
// closure after it was taken back.
TEST_CASE("an earlier read does not repeat a closure that was taken back") {
    closed_domains domains;
    domains.merge(set_of({{"north", 5}}, 10));
    domains.merge(set_of({}, 20));
    domains.merge(set_of({{"north", 5}}, 15));
    CHECK(domains.names().empty());
    domains.merge(set_of({{"north", 21}}, 15));
    CHECK(domains.is_closed("north"));
}

// Guards against a closure that is lost when two processes have read different changes: the result
// must not depend on which of them tells first.
TEST_CASE("merging gives the same result in either order") {
    const closed_domain_set first = set_of({{"north", 5}, {"south", 30}}, 20);
    const closed_domain_set second = set_of({{"east", 24}}, 25);
    closed_domains one;
    one.merge(first);
    one.merge(second);
    closed_domains other;
    other.merge(second);
    other.merge(first);
    CHECK(one.names() == names{"east", "south"});
    CHECK(one.names() == other.names());
    CHECK(one.known().as_of == other.known().as_of);
}

// Guards against a late confirmation that makes the knowledge look older than it is.
TEST_CASE("a confirmation of an earlier time has no effect on closed domains") {
    const boot_time start{std::chrono::seconds(100)};
    closed_domains domains;
    CHECK_FALSE(domains.confirmed_at().has_value());
    domains.confirm(start);
    domains.confirm(start - milliseconds(500));
    CHECK(domains.confirmed_at() == start);
}

} // namespace egretstile
