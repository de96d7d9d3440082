#pragma once

#include <egretstile/infrastructure/key_value/coordination_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// A store in memory for tests of one process. The event loop delivers answers after a short delay;
/// leases do not expire and only end by `end_lease`.
class in_memory_store : public infrastructure::coordination_store {
public:
    explicit in_memory_store(event_loop& loop)
        : loop_(loop) {}

    /// Answer time of listings; a longer one prolongs the loading of a leader.
    milliseconds list_delay{1};
    /// Whether watches answer without the changes that were made, and with the present revision.
    bool watches_miss_changes{false};
    /// Whether watches get no answer; they fail some time after their wait.
    bool watches_silent{false};
    std::size_t listings{0};
    /// Number of renewals from now on that get no answer and have no effect.
    std::size_t lost_renewals{0};
    /// Times of the renewals that had an effect.
    std::vector<boot_time> renewed_at;
    /// When the last lease was granted.
    boot_time lease_granted_at{};
    /// Largest value that is accepted, in bytes.
    std::size_t max_value_bytes{std::size_t{1024} * 1024};
    /// Number of transactions that were rejected because a value was larger.
    std::size_t rejected_commits{0};
    /// Whether the store answers; otherwise all calls but those for leases fail without effect.
    bool reachable{true};

    void get(const std::string& key, milliseconds timeout, get_callback done) override;
    void list(const std::string& prefix, const std::string& after, milliseconds timeout,
              page_callback done) override;
    void watch(const std::string& prefix, revision_number after, milliseconds wait,
               changes_callback done) override;
    void commit(const infrastructure::store_transaction& transaction, milliseconds timeout,
                commit_callback done) override;
    void grant_lease(milliseconds time_to_live, milliseconds timeout, lease_callback done) override;
    void renew_lease(infrastructure::store_lease lease, milliseconds timeout,
                     done_callback done) override;
    void end_lease(infrastructure::store_lease lease, milliseconds timeout,
                   done_callback done) override;

    /// Writes a key as another process would.
    void put(const std::string& key, const std::string& value,
             infrastructure::store_lease lease = infrastructure::no_lease);
    void remove(const std::string& key);
    /// Empty when the key is absent.
    std::string value_of(const std::string& key) const;

private:
    struct stored {
        infrastructure::store_item item;
        infrastructure::store_lease lease{infrastructure::no_lease};
    };

    void call_after(milliseconds delay, std::function<void()> function);
    void poll_changes(const std::string& prefix, revision_number after, boot_time until,
                      const changes_callback& done);

    event_loop& loop_;
    revision_number revision_{1};
    std::map<std::string, stored> keys_;
    /// All changes in order, each with its revision. The item of a removed key has an empty value
    /// and revision zero.
    std::vector<std::pair<revision_number, infrastructure::store_item>> history_;
    std::set<infrastructure::store_lease> leases_;
    infrastructure::store_lease last_lease_{0};
};

} // namespace egretstile::daemon
