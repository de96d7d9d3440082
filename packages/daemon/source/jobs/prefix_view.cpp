#include "jobs/prefix_view.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

/// Longest answer time of a store that is merely slow, on the deployments' worst days 0.3 s.
constexpr milliseconds list_timeout{1200};
/// Pause after a failed call, so that an outage does not use up the store's rate.
constexpr milliseconds retry_pause{150};

} // namespace

prefix_view::prefix_view(event_loop& loop, coordination_store& store, std::string prefix,
                         milliseconds watch_wait, handlers callbacks)
    : loop_(loop)
    , store_(store)
    , prefix_(std::move(prefix))
    , watch_wait_(watch_wait)
    , handlers_(std::move(callbacks)) {}

void prefix_view::refresh() {
    list_from("", ++round_);
}

void prefix_view::list_from(const std::string& after, std::uint64_t round) {
    if (after.empty()) {
        listed_.clear();
        list_revision_ = 0;
    }
    const std::weak_ptr<int> alive = alive_;
    const boot_time asked_at = boot_now();
    store_.list(prefix_, after, list_timeout,
                [this, alive, asked_at, round](std::variant<store_page, store_error>&& result) {
                    if (alive.expired() || round != round_) {
                        return;
                    }
                    if (const store_error* const error = std::get_if<store_error>(&result)) {
                        retry_later(*error, round);
                        return;
                    }
                    take_page(std::get<store_page>(result), asked_at, round);
                });
}

void prefix_view::take_page(const store_page& page, boot_time asked_at, std::uint64_t round) {
    // Pages are read one after the other: watching goes on from the oldest.
    list_revision_ = list_revision_ == 0 ? page.at : std::min(list_revision_, page.at);
    for (const store_item& item : page.items) {
        listed_[item.key] = item.revision;
        take_item(item);
    }
    if (page.has_more && !page.items.empty()) {
        list_from(page.items.back().key, round);
        return;
    }
    finish_listing(asked_at, round);
}

void prefix_view::finish_listing(boot_time asked_at, std::uint64_t round) {
    std::vector<std::string> removed;
    for (const auto& [key, revision] : revisions_) {
        if (listed_.count(key) == 0) {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed) {
        take_item({key, "", 0});
    }
    watched_to_ = list_revision_;
    confirmed_at_ = asked_at;
    if (!std::exchange(connected_, true)) {
        write_log(log_part::store, log_level::info, "Follows the stored keys.",
                  "prefix=" + prefix_ + " revision=" + std::to_string(watched_to_) +
                      " keys=" + std::to_string(listed_.size()));
    }
    handlers_.on_listed();
    watch(round);
}

void prefix_view::watch(std::uint64_t round) {
    const std::weak_ptr<int> alive = alive_;
    const boot_time asked_at = boot_now();
    store_.watch(prefix_, watched_to_, watch_wait_,
                 [this, alive, asked_at, round](std::variant<store_changes, store_error>&& result) {
                     if (alive.expired() || round != round_) {
                         return;
                     }
                     if (const store_error* const error = std::get_if<store_error>(&result)) {
                         retry_later(*error, round);
                         return;
                     }
                     const store_changes& changes = std::get<store_changes>(result);
                     watched_to_ = std::max(watched_to_, changes.at);
                     confirmed_at_ = asked_at;
                     for (const store_item& item : changes.items) {
                         take_item(item);
                     }
                     watch(round);
                 });
}

void prefix_view::take_item(const store_item& item) {
    const auto known = revisions_.find(item.key);
    const revision_number before = known == revisions_.end() ? 0 : known->second;
    if (item.revision == before) {
        return;
    }
    if (item.revision == 0) {
        revisions_.erase(item.key);
    } else {
        revisions_[item.key] = item.revision;
    }
    handlers_.on_change(item);
}

void prefix_view::retry_later(store_error error, std::uint64_t round) {
    const bool was_connected = std::exchange(connected_, false);
    if (was_connected || !std::exchange(failure_noted_, true)) {
        write_log(log_part::store, log_level::warning,
                  was_connected ? "Lost sight of the stored keys." : "Cannot read the stored keys.",
                  "prefix=" + prefix_ +
                      " reason=" + std::string(name_of(store_error_names, error)));
    }
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + retry_pause, [this, alive, round] {
        if (!alive.expired() && round == round_) {
            refresh();
        }
    });
}

namespace {

using list_callback = std::function<void(std::variant<std::vector<store_item>, store_error>&&)>;

void list_rest(coordination_store& store, const std::string& prefix, const std::string& after,
               const std::shared_ptr<std::vector<store_item>>& items, list_callback done) {
    store.list(prefix, after, list_timeout,
               [&store, prefix, items,
                done = std::move(done)](std::variant<store_page, store_error>&& result) {
                   if (const store_error* const error = std::get_if<store_error>(&result)) {
                       done(*error);
                       return;
                   }
                   store_page& page = std::get<store_page>(result);
                   std::move(page.items.begin(), page.items.end(), std::back_inserter(*items));
                   if (page.has_more && !items->empty()) {
                       list_rest(store, prefix, items->back().key, items, done);
                       return;
                   }
                   done(std::move(*items));
               });
}

} // namespace

void list_all(coordination_store& store, const std::string& prefix, list_callback done) {
    list_rest(store, prefix, "", std::make_shared<std::vector<store_item>>(), std::move(done));
}

} // namespace egretstile::daemon
