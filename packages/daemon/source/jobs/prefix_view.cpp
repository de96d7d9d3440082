#include "jobs/prefix_view.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

/// Well above the answer times of a slow store, which in the deployments reach 0.3 s.
constexpr milliseconds list_timeout{1200};
/// Pause after a failed call, so that retries in an outage do not use up the store's rate limit.
constexpr milliseconds retry_pause{150};

} // namespace

prefix_view::prefix_view(event_loop& loop, coordination_store& store, std::string prefix,
                         milliseconds watch_wait, view_confirmation confirmation,
                         handlers callbacks)
    : loop_(loop)
    , store_(store)
    , prefix_(std::move(prefix))
    , watch_wait_(watch_wait)
    , confirmation_(confirmation)
    , handlers_(std::move(callbacks)) {}

void prefix_view::refresh() {
    // Starting again would discard the answer of a listing that takes longer than the interval of
    // the calls.
    if (!listing_) {
        list_from("", ++round_);
    }
}

void prefix_view::list_from(const std::string& after, std::uint64_t round) {
    if (after.empty()) {
        listed_.clear();
        list_revision_ = 0;
    }
    listing_ = true;
    const std::weak_ptr<int> alive = alive_;
    const boot_time requested_at = boot_now();
    store_.list(prefix_, after, list_timeout,
                [this, alive, requested_at, round](std::variant<store_page, store_error>&& result) {
                    if (alive.expired() || round != round_) {
                        return;
                    }
                    if (const store_error* const error = std::get_if<store_error>(&result)) {
                        retry_later(*error, round);
                        return;
                    }
                    apply_page(std::get<store_page>(result), requested_at, round);
                });
}

void prefix_view::apply_page(const store_page& page, boot_time requested_at, std::uint64_t round) {
    // Pages are read at different revisions. The watch begins at the lowest, so that it shows every
    // change that came after the read of its page.
    list_revision_ =
        list_revision_ == 0 ? page.store_revision : std::min(list_revision_, page.store_revision);
    for (const store_item& item : page.items) {
        listed_[item.key] = item.revision;
        apply_item(item);
    }
    if (page.has_more && !page.items.empty()) {
        list_from(page.items.back().key, round);
        return;
    }
    finish_listing(requested_at, round);
}

void prefix_view::finish_listing(boot_time requested_at, std::uint64_t round) {
    std::vector<std::string> removed;
    for (const auto& [key, revision] : revisions_) {
        if (listed_.count(key) == 0) {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed) {
        apply_item({key, "", 0});
    }
    watched_revision_ = list_revision_;
    listed_revision_ = list_revision_;
    listing_ = false;
    if (!std::exchange(connected_, true)) {
        write_log(log_part::store, log_level::info, "Watching the stored keys.",
                  "prefix=" + prefix_ + " revision=" + std::to_string(watched_revision_) +
                      " keys=" + std::to_string(listed_.size()) +
                      " unconfirmed_ms=" + std::to_string(unconfirmed_time().count()));
    }
    confirmed_at_ = requested_at;
    handlers_.on_listed();
    watch(round);
}

milliseconds prefix_view::unconfirmed_time() const {
    return confirmed_at_ ? std::chrono::duration_cast<milliseconds>(boot_now() - *confirmed_at_)
                         : milliseconds(0);
}

void prefix_view::watch(std::uint64_t round) {
    const std::weak_ptr<int> alive = alive_;
    const boot_time requested_at = boot_now();
    store_.watch(
        prefix_, watched_revision_, watch_wait_,
        [this, alive, requested_at, round](std::variant<store_changes, store_error>&& result) {
            if (alive.expired() || round != round_) {
                return;
            }
            if (const store_error* const error = std::get_if<store_error>(&result)) {
                retry_later(*error, round);
                return;
            }
            const store_changes& changes = std::get<store_changes>(result);
            watched_revision_ = std::max(watched_revision_, changes.store_revision);
            if (confirmation_ == view_confirmation::watches) {
                confirmed_at_ = requested_at;
            }
            for (const store_item& item : changes.items) {
                apply_item(item);
            }
            if (confirmation_ == view_confirmation::listings &&
                (changes.items.empty() || unconfirmed_time() >= watch_wait_)) {
                list_from("", round);
            } else {
                watch(round);
            }
        });
}

void prefix_view::apply_item(const store_item& item) {
    const auto found = revisions_.find(item.key);
    const revision_number before = found == revisions_.end() ? 0 : found->second;
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
    listing_ = false;
    const bool was_connected = std::exchange(connected_, false);
    if (was_connected || !std::exchange(failure_logged_, true)) {
        write_log(
            log_part::store, log_level::warning,
            was_connected ? "Lost the watch on the stored keys." : "Cannot list the stored keys.",
            "prefix=" + prefix_ + " reason=" + std::string(name_of(store_error_names, error)) +
                " unconfirmed_ms=" + std::to_string(unconfirmed_time().count()));
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

void list_pages_from(coordination_store& store, const std::string& prefix, const std::string& after,
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
                       list_pages_from(store, prefix, items->back().key, items, done);
                       return;
                   }
                   done(std::move(*items));
               });
}

} // namespace

void list_all(coordination_store& store, const std::string& prefix, list_callback done) {
    list_pages_from(store, prefix, "", std::make_shared<std::vector<store_item>>(),
                    std::move(done));
}

} // namespace egretstile::daemon
