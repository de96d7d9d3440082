#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace egretstile::standins {

/// Value of a key; revision zero: absent.
struct versioned_value {
    std::uint64_t revision{0};
    std::string value;
};

enum class write_result : std::uint8_t { done, conflict, no_lease };

/// Keys with revisions, and leases on which keys depend. Revisions rise over all keys, so that a
/// key that was deleted and written again never has an earlier revision. Thread-safe.
class key_value_state {
public:
    using clock = std::chrono::steady_clock;

    versioned_value get(const std::string& key);

    /// Waits until the key's revision differs from `after`, `wait` has passed or `interrupt` is
    /// called.
    versioned_value watch(const std::string& key, std::uint64_t after,
                          std::chrono::milliseconds wait);

    /// Writes when the revision is `expected`; sets `revision` to the key's revision afterwards.
    write_result put(const std::string& key, std::uint64_t expected, const std::string& value,
                     const std::string& lease, std::uint64_t& revision);
    write_result remove(const std::string& key, std::uint64_t expected);

    std::string grant_lease(std::chrono::milliseconds time_to_live);
    bool renew_lease(const std::string& lease);
    /// Ends the lease and deletes its keys; also the way a test makes it lapse.
    bool end_lease(const std::string& lease);
    void end_all_leases();

    /// Ends all waiting watches.
    void interrupt();

private:
    struct entry {
        versioned_value current;
        std::string lease;
    };

    struct lease_state {
        std::chrono::milliseconds time_to_live{0};
        clock::time_point end;
    };

    void drop_keys_of(const std::string& lease);
    void end_lapsed(clock::time_point now);
    std::optional<clock::time_point> next_lapse() const;
    versioned_value current(const std::string& key) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, entry> entries_;
    std::map<std::string, lease_state> leases_;
    std::uint64_t last_revision_{0};
    std::uint64_t last_lease_{0};
    std::uint64_t interrupts_{0};
};

} // namespace egretstile::standins
