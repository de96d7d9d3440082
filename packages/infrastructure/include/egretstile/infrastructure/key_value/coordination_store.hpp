#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/infrastructure/key_value/store_error.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace egretstile::infrastructure {

/// A key and its value; revision zero: the key is absent.
struct store_item {
    std::string key;
    std::string value;
    revision_number revision{0};
};

/// Keys with one prefix, in ascending order.
struct store_page {
    std::vector<store_item> items;
    /// The store's revision when the page was read. Pages read one after the other do not form a
    /// consistent snapshot.
    revision_number store_revision{0};
    bool has_more{false};
};

/// Changes of keys with one prefix; a removed key has revision zero.
struct store_changes {
    std::vector<store_item> items;
    /// Revision to pass to the next watch as `after`.
    revision_number store_revision{0};
};

using store_lease = std::int64_t;

/// A key written without a lease stays until it is removed.
constexpr store_lease no_lease = 0;

/// The key must have this revision when the transaction is applied.
struct store_condition {
    std::string key;
    /// Zero: the key must not exist.
    revision_number revision{0};
};

struct store_write {
    std::string key;
    std::string value;
    store_lease lease{no_lease};
};

/// Applied atomically: if a condition does not hold, nothing is written or removed.
struct store_transaction {
    std::vector<store_condition> expected;
    std::vector<store_write> writes;
    std::vector<std::string> removals;
};

/// Largest total number of conditions, writes and removals in one transaction.
constexpr std::size_t max_transaction_entries = 32;

struct store_commit {
    revision_number revision{0};
};

/// A condition did not hold. Holds the current state of the keys in the conditions.
struct store_conflict {
    std::vector<store_item> items;
};

/// The key's state at the conflict; null when the store did not name the key. The result points
/// into `conflict`. Thread-safe.
inline const store_item* find_item(const store_conflict& conflict, const std::string& key) {
    const auto found = std::find_if(conflict.items.begin(), conflict.items.end(),
                                    [&key](const store_item& item) { return item.key == key; });
    return found == conflict.items.end() ? nullptr : &*found;
}

struct granted_lease {
    store_lease lease{no_lease};
    milliseconds time_to_live{0};
};

/// Asynchronous interface of the store of all persistent state, for a process with an event loop.
/// Each callback is called once, on the loop's thread, and never before the method has returned.
/// After `store_error::no_answer` a write may still take effect later if its conditions hold at
/// that time.
class coordination_store {
public:
    using get_callback = std::function<void(std::variant<store_item, store_error>&&)>;
    using page_callback = std::function<void(std::variant<store_page, store_error>&&)>;
    using changes_callback = std::function<void(std::variant<store_changes, store_error>&&)>;
    using commit_callback =
        std::function<void(std::variant<store_commit, store_conflict, store_error>&&)>;
    using lease_callback = std::function<void(std::variant<granted_lease, store_error>&&)>;
    using done_callback = std::function<void(std::variant<std::monostate, store_error>&&)>;

    coordination_store() = default;
    coordination_store(const coordination_store&) = delete;
    coordination_store& operator=(const coordination_store&) = delete;
    coordination_store(coordination_store&&) = delete;
    coordination_store& operator=(coordination_store&&) = delete;
    virtual ~coordination_store() = default;

    /// Reads one key; an absent key has revision zero.
    virtual void get(const std::string& key, milliseconds timeout, get_callback done) = 0;

    /// Lists keys that begin with `prefix` and sort after the key `after`; an empty `after` starts
    /// with the first.
    virtual void list(const std::string& prefix, const std::string& after, milliseconds timeout,
                      page_callback done) = 0;

    /// Reads the changes after revision `after`; waits up to `wait` for the first one.
    virtual void watch(const std::string& prefix, revision_number after, milliseconds wait,
                       changes_callback done) = 0;

    /// Applies the transaction. Precondition: it has at most `max_transaction_entries` entries.
    virtual void commit(const store_transaction& transaction, milliseconds timeout,
                        commit_callback done) = 0;

    virtual void grant_lease(milliseconds time_to_live, milliseconds timeout,
                             lease_callback done) = 0;
    /// `store_error::not_found` means that the lease has ended and cannot be renewed any more.
    virtual void renew_lease(store_lease lease, milliseconds timeout, done_callback done) = 0;
    virtual void end_lease(store_lease lease, milliseconds timeout, done_callback done) = 0;
};

} // namespace egretstile::infrastructure
