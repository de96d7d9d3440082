#include "jobs/in_memory_store.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

using namespace infrastructure;

namespace {

constexpr milliseconds answer_delay{1};
constexpr milliseconds watch_poll{2};
/// Time by which a client waits longer for the answer of a watch than the watch itself.
constexpr milliseconds watch_timeout_margin{700};

bool begins_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

void in_memory_store::call_after(milliseconds delay, std::function<void()> function) {
    loop_.call_at(boot_now() + delay, std::move(function));
}

void in_memory_store::put(const std::string& key, const std::string& value, store_lease lease) {
    const store_item item{key, value, ++revision_};
    keys_[key] = {item, lease};
    history_.emplace_back(revision_, item);
}

void in_memory_store::remove(const std::string& key) {
    if (keys_.erase(key) != 0) {
        history_.emplace_back(++revision_, store_item{key, "", 0});
    }
}

std::string in_memory_store::value_of(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? std::string() : found->second.item.value;
}

void in_memory_store::get(const std::string& key, milliseconds /*timeout*/, get_callback done) {
    call_after(answer_delay, [this, key, done = std::move(done)] {
        if (!reachable) {
            done(store_error::unavailable);
            return;
        }
        const auto found = keys_.find(key);
        done(found == keys_.end() ? store_item{key, "", 0} : found->second.item);
    });
}

void in_memory_store::list(const std::string& prefix, const std::string& after,
                           milliseconds /*timeout*/, page_callback done) {
    ++listings;
    call_after(list_delay, [this, prefix, after, done = std::move(done)] {
        if (!reachable) {
            done(store_error::unavailable);
            return;
        }
        store_page page;
        page.store_revision = revision_;
        for (const auto& [key, record] : keys_) {
            if (begins_with(key, prefix) && key > after) {
                page.items.push_back(record.item);
            }
        }
        done(std::move(page));
    });
}

void in_memory_store::watch(const std::string& prefix, revision_number after, milliseconds wait,
                            changes_callback done) {
    poll_changes(prefix, after, boot_now() + wait, done);
}

void in_memory_store::poll_changes(const std::string& prefix, revision_number after,
                                   boot_time until, const changes_callback& done) {
    call_after(watch_poll, [this, prefix, after, until, done] {
        if (!reachable) {
            done(store_error::unavailable);
            return;
        }
        if (watches_silent) {
            if (boot_now() < until + watch_timeout_margin) {
                poll_changes(prefix, after, until, done);
            } else {
                done(store_error::no_answer);
            }
            return;
        }
        store_changes changes;
        changes.store_revision = revision_;
        for (const auto& [revision, item] : history_) {
            if (!watches_miss_changes && revision > after && begins_with(item.key, prefix)) {
                changes.items.push_back(item);
            }
        }
        if (changes.items.empty() && boot_now() < until) {
            poll_changes(prefix, after, until, done);
        } else {
            done(std::move(changes));
        }
    });
}

void in_memory_store::commit(const store_transaction& transaction, milliseconds /*timeout*/,
                             commit_callback done) {
    call_after(answer_delay, [this, transaction, done = std::move(done)] {
        if (!reachable) {
            done(store_error::unavailable);
            return;
        }
        if (std::any_of(
                transaction.writes.begin(), transaction.writes.end(),
                [this](const store_write& row) { return row.value.size() > max_value_bytes; })) {
            ++rejected_commits;
            done(store_error::rejected);
            return;
        }
        store_conflict conflict;
        bool holds = true;
        for (const store_condition& condition : transaction.expected) {
            const auto found = keys_.find(condition.key);
            const store_item present =
                found == keys_.end() ? store_item{condition.key, "", 0} : found->second.item;
            holds = holds && present.revision == condition.revision;
            conflict.items.push_back(present);
        }
        if (!holds) {
            done(std::move(conflict));
            return;
        }
        for (const store_write& write : transaction.writes) {
            put(write.key, write.value, write.lease);
        }
        for (const std::string& key : transaction.removals) {
            remove(key);
        }
        // All keys of a transaction share its revision.
        for (const store_write& write : transaction.writes) {
            keys_[write.key].item.revision = revision_;
        }
        done(store_commit{revision_});
    });
}

void in_memory_store::grant_lease(milliseconds time_to_live, milliseconds /*timeout*/,
                                  lease_callback done) {
    call_after(answer_delay, [this, time_to_live, done = std::move(done)] {
        leases_.insert(++last_lease_);
        lease_granted_at = boot_now();
        done(granted_lease{last_lease_, time_to_live});
    });
}

void in_memory_store::renew_lease(store_lease lease, milliseconds timeout, done_callback done) {
    if (lost_renewals > 0) {
        --lost_renewals;
        call_after(timeout, [done = std::move(done)] { done(store_error::no_answer); });
        return;
    }
    call_after(answer_delay, [this, lease, done = std::move(done)] {
        if (leases_.count(lease) != 0) {
            renewed_at.push_back(boot_now());
            done(std::monostate());
        } else {
            done(store_error::not_found);
        }
    });
}

void in_memory_store::end_lease(store_lease lease, milliseconds /*timeout*/, done_callback done) {
    call_after(answer_delay, [this, lease, done = std::move(done)] {
        leases_.erase(lease);
        std::vector<std::string> ended;
        for (const auto& [key, record] : keys_) {
            if (record.lease == lease) {
                ended.push_back(key);
            }
        }
        for (const std::string& key : ended) {
            remove(key);
        }
        done(std::monostate());
    });
}

} // namespace egretstile::daemon
