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

/// Answers every transaction with the same result and records the transactions.
class fixed_result_store : public coordination_store {
public:
    explicit fixed_result_store(commit_result result)
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

/// `config_revision` zero: under any configuration.
std::optional<wire::create_outcome> outcome_of(fixed_result_store& store, const std::string& key,
                                               revision_number config_revision = 0) {
    std::optional<wire::create_outcome> outcome;
    create_key_for_entry(store, "op/config", {7, key, "value", config_revision},
                         [&outcome](const wire::message& message) {
                             const wire::create_key_reply& answer =
                                 std::get<wire::create_key_reply>(message);
                             CHECK(answer.call_id == 7);
                             outcome = answer.outcome;
                         });
    return outcome;
}

// Guards against callers who get no result from an entry that cannot reach the store until the
// outage ends, although the leader can reach the store.
TEST_CASE("creating a key for an entry does not overwrite an existing key") {
    fixed_result_store store(store_commit{5});
    CHECK(outcome_of(store, store_keys::job("id")) == wire::create_outcome::created);
    REQUIRE(store.transactions.size() == 1);
    REQUIRE(store.transactions.front().expected.size() == 1);
    CHECK(store.transactions.front().expected.front().revision == 0);
    CHECK(store.transactions.front().writes.front().value == "value");
    fixed_result_store occupied(store_conflict{});
    CHECK(outcome_of(occupied, store_keys::job("id")) == wire::create_outcome::existed);
}

// Guards against a job that the leader stores for a queue that has been removed, because the entry
// that asks for it has an old configuration.
TEST_CASE("a key is not created for an entry under a configuration that has been replaced") {
    const std::string key = store_keys::job("id");
    const store_item changed_config{"op/config", "", 9};
    fixed_result_store changed(store_conflict{{store_item{key, "", 0}, changed_config}});
    CHECK(outcome_of(changed, key, 7) == wire::create_outcome::config_changed);
    REQUIRE(changed.transactions.front().expected.size() == 2);
    CHECK(changed.transactions.front().expected.back().key == "op/config");
    CHECK(changed.transactions.front().expected.back().revision == 7);
    fixed_result_store stored(store_conflict{{store_item{key, "", 8}, changed_config}});
    CHECK(outcome_of(stored, key, 7) == wire::create_outcome::existed);
    // An answer that cannot be read names no key.
    fixed_result_store unreadable(store_conflict{});
    CHECK(outcome_of(unreadable, key, 7) == wire::create_outcome::unknown);
}

// Guards against an entry that reports a job as not stored although a commit without an answer may
// have stored it.
TEST_CASE("a key is reported as not created only when the store has done nothing") {
    fixed_result_store silent(store_error::no_answer);
    CHECK(outcome_of(silent, store_keys::job("id")) == wire::create_outcome::unknown);
    fixed_result_store busy(store_error::unavailable);
    CHECK(outcome_of(busy, store_keys::job("id")) == wire::create_outcome::not_created);
}

// Guards against an entry that has the leader write keys other than those of jobs, such as the
// epoch.
TEST_CASE("only keys of jobs are created for an entry") {
    fixed_result_store store(store_commit{5});
    CHECK(outcome_of(store, store_keys::epoch) == wire::create_outcome::not_created);
    CHECK(store.transactions.empty());
}

} // namespace
} // namespace egretstile::daemon
