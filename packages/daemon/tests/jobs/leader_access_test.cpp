#include "jobs/leader_access.hpp"
#include "jobs/store_keys.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace egretstile::daemon {
namespace {

using namespace infrastructure;

using commit_result = std::variant<store_commit, store_conflict, store_error>;

/// Answers every transaction with the same result and keeps it.
class answering_store : public coordination_store {
public:
    explicit answering_store(commit_result result)
        : result_(std::move(result)) {}

    void get(const std::string& /*key*/, milliseconds /*timeout*/, get_callback /*done*/) override {
    }

    void list(const std::string& /*prefix*/, const std::string& /*after*/, milliseconds /*timeout*/,
              page_callback /*done*/) override {}

    void watch(const std::string& /*prefix*/, revision_number /*after*/, milliseconds /*wait*/,
               changes_callback /*done*/) override {}

    void commit(const store_transaction& transaction, milliseconds /*timeout*/,
                commit_callback done) override {
        transactions.push_back(transaction);
        done(commit_result(result_));
    }

    void grant_lease(milliseconds /*time_to_live*/, milliseconds /*timeout*/,
                     lease_callback /*done*/) override {}

    void renew_lease(store_lease /*lease*/, milliseconds /*timeout*/,
                     done_callback /*done*/) override {}

    void end_lease(store_lease /*lease*/, milliseconds /*timeout*/,
                   done_callback /*done*/) override {}

    std::vector<store_transaction> transactions;

private:
    commit_result result_;
};

std::optional<wire::create_outcome> outcome_of(answering_store& store, const std::string& key) {
    std::optional<wire::create_outcome> outcome;
    create_for_entry(store, {7, key, "value"}, [&outcome](const wire::message& message) {
        const wire::create_key_answer& answer = std::get<wire::create_key_answer>(message);
        CHECK(answer.call_id == 7);
        outcome = answer.outcome;
    });
    return outcome;
}

// Guards against callers of an entry that is cut off from the store who are told nothing for as
// long as the cut lasts, although the leader reaches the store.
TEST_CASE("a key that is created for an entry replaces no present one") {
    answering_store store(store_commit{5});
    CHECK(outcome_of(store, store_keys::job("id")) == wire::create_outcome::created);
    REQUIRE(store.transactions.size() == 1);
    REQUIRE(store.transactions.front().expected.size() == 1);
    CHECK(store.transactions.front().expected.front().revision == 0);
    CHECK(store.transactions.front().writes.front().value == "value");
    answering_store full(store_conflict{});
    CHECK(outcome_of(full, store_keys::job("id")) == wire::create_outcome::existed);
}

// Guards against "has not run" for a job that the store may have taken.
TEST_CASE("only a store that did nothing makes a key that was not created") {
    answering_store silent(store_error::no_answer);
    CHECK(outcome_of(silent, store_keys::job("id")) == wire::create_outcome::unknown);
    answering_store busy(store_error::unavailable);
    CHECK(outcome_of(busy, store_keys::job("id")) == wire::create_outcome::not_created);
}

// Guards against an entry that writes the leader's own keys through the leader.
TEST_CASE("only keys of jobs are created for an entry") {
    answering_store store(store_commit{5});
    CHECK(outcome_of(store, store_keys::epoch) == wire::create_outcome::not_created);
    CHECK(store.transactions.empty());
}

} // namespace
} // namespace egretstile::daemon
