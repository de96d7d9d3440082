#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace egretstile::standins {

/// Value of a key. The revision is 0 when the key is absent.
struct versioned_value {
    std::uint64_t revision{0};
    std::string value;
};

enum class write_result : std::uint8_t { done, conflict, no_lease };

/// Keys with revisions, and leases. A key that was written with a lease is deleted when the lease
/// ends. Revisions come from one counter for all keys, so a key that is deleted and written again
/// never gets an earlier revision. Thread-safe.
class key_value_state {
public:
    using clock = std::chrono::steady_clock;

    versioned_value get(const std::string& key);

    /// Waits until the key's revision differs from `after`, `wait` has passed or `cancel_watches`
    /// is called, and returns the key's current value.
    versioned_value watch(const std::string& key, std::uint64_t after,
                          std::chrono::milliseconds wait);

    /// Writes the key if its revision is `expected`. Sets `revision` to the key's revision after
    /// the call. `lease` may be empty.
    write_result put(const std::string& key, std::uint64_t expected, const std::string& value,
                     const std::string& lease, std::uint64_t& revision);
    write_result remove(const std::string& key, std::uint64_t expected);

    std::string grant_lease(std::chrono::milliseconds time_to_live);
    bool renew_lease(const std::string& lease);
    /// Ends the lease and deletes its keys. Tests also use it to let a lease expire early.
    bool end_lease(const std::string& lease);
    void end_all_leases();

    /// Makes all waiting watches return.
    void cancel_watches();

private:
    struct entry {
        versioned_value current;
        std::string lease;
    };

    struct lease_state {
        std::chrono::milliseconds time_to_live{0};
        clock::time_point expiry;
    };

    void delete_keys_of(const std::string& lease);
    void expire_leases(clock::time_point now);
    std::optional<clock::time_point> next_expiry() const;
    versioned_value current(const std::string& key) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> entries_;
    std::map<std::string, lease_state> leases_;
    std::uint64_t last_revision_{0};
    std::uint64_t last_lease_{0};
    std::uint64_t watch_cancellations_{0};
};

} // namespace egretstile::standins
