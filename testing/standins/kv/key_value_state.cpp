#include "kv/key_value_state.hpp"

#include <algorithm>

namespace egretstile::standins {

void key_value_state::delete_keys_of(const std::string& lease) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        it = it->second.lease == lease ? entries_.erase(it) : std::next(it);
    }
    changed_.notify_all();
}

void key_value_state::expire_leases(clock::time_point now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.expiry > now) {
            ++it;
            continue;
        }
        const std::string lease = it->first;
        it = leases_.erase(it);
        delete_keys_of(lease);
    }
}

std::optional<key_value_state::clock::time_point> key_value_state::next_expiry() const {
    std::optional<clock::time_point> next;
    for (const auto& [id, lease] : leases_) {
        next = next ? std::min(*next, lease.expiry) : lease.expiry;
    }
    return next;
}

versioned_value key_value_state::current(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? versioned_value{} : found->second.current;
}

versioned_value key_value_state::get(const std::string& key) {
    const std::lock_guard lock(mutex_);
    expire_leases(clock::now());
    return current(key);
}

versioned_value key_value_state::watch(const std::string& key, std::uint64_t after,
                                       std::chrono::milliseconds wait) {
    std::unique_lock lock(mutex_);
    const clock::time_point deadline = clock::now() + wait;
    const std::uint64_t cancellations_before = watch_cancellations_;
    for (;;) {
        const clock::time_point now = clock::now();
        expire_leases(now);
        versioned_value found = current(key);
        if (found.revision != after || now >= deadline ||
            watch_cancellations_ != cancellations_before) {
            return found;
        }
        changed_.wait_until(lock, std::min(deadline, next_expiry().value_or(deadline)));
    }
}

write_result key_value_state::put(const std::string& key, std::uint64_t expected,
                                  const std::string& value, const std::string& lease,
                                  std::uint64_t& revision) {
    const std::lock_guard lock(mutex_);
    expire_leases(clock::now());
    revision = current(key).revision;
    if (!lease.empty() && !leases_.contains(lease)) {
        return write_result::no_lease;
    }
    if (revision != expected) {
        return write_result::conflict;
    }
    revision = ++last_revision_;
    entries_[key] = {{revision, value}, lease};
    changed_.notify_all();
    return write_result::done;
}

write_result key_value_state::remove(const std::string& key, std::uint64_t expected) {
    const std::lock_guard lock(mutex_);
    expire_leases(clock::now());
    if (current(key).revision != expected) {
        return write_result::conflict;
    }
    entries_.erase(key);
    changed_.notify_all();
    return write_result::done;
}

std::string key_value_state::grant_lease(std::chrono::milliseconds time_to_live) {
    const std::lock_guard lock(mutex_);
    std::string id = "lease-" + std::to_string(++last_lease_);
    leases_[id] = {time_to_live, clock::now() + time_to_live};
    // A watch that is waiting until a later expiry must recompute when to wake up.
    changed_.notify_all();
    return id;
}

bool key_value_state::renew_lease(const std::string& lease) {
    const std::lock_guard lock(mutex_);
    const clock::time_point now = clock::now();
    expire_leases(now);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    found->second.expiry = now + found->second.time_to_live;
    return true;
}

bool key_value_state::end_lease(const std::string& lease) {
    const std::lock_guard lock(mutex_);
    if (leases_.erase(lease) == 0) {
        return false;
    }
    delete_keys_of(lease);
    return true;
}

void key_value_state::end_all_leases() {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, lease] : leases_) {
        delete_keys_of(id);
    }
    leases_.clear();
}

void key_value_state::cancel_watches() {
    const std::lock_guard lock(mutex_);
    ++watch_cancellations_;
    changed_.notify_all();
}

} // namespace egretstile::standins
