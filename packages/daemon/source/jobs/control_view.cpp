#include "jobs/control_view.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/NumberParser.h>
#include <Poco/RandomStream.h>

#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

constexpr milliseconds commit_timeout{1000};
constexpr std::size_t peer_key_bytes = 32;
/// Bounds the listings that messages of other processes cause.
constexpr milliseconds refresh_pause{400};
/// More than there are leaders while a permission lasts.
constexpr std::size_t max_epochs_seen = 100;

std::string random_key() {
    std::string key(peer_key_bytes, '\0');
    Poco::RandomInputStream random;
    random.read(key.data(), static_cast<std::streamsize>(key.size()));
    return key;
}

} // namespace

epoch_number parse_epoch(const std::string& text) {
    Poco::UInt64 epoch{0};
    return Poco::NumberParser::tryParseUnsigned64(text, epoch) ? epoch : 0;
}

control_view::control_view(event_loop& loop, coordination_store& store, milliseconds watch_wait,
                           std::function<void()> on_change)
    : store_(store)
    , on_change_(std::move(on_change))
    , view_(
          loop, store, store_keys::control_prefix, watch_wait, view_confirmation::watches,
          {[this](const store_item& item) { apply_change(item); }, [this] { handle_listing(); }}) {}

void control_view::refresh_if_due() {
    const boot_time now = boot_now();
    if (refreshed_at_ == boot_time() || now >= refreshed_at_ + refresh_pause) {
        refreshed_at_ = now;
        refresh();
    }
}

void control_view::apply_change(const store_item& item) {
    if (item.key == store_keys::epoch) {
        epoch_ = parse_epoch(item.value);
        epoch_revision_ = item.revision;
        epochs_seen_.try_emplace(epoch_, boot_now());
        if (epochs_seen_.size() > max_epochs_seen) {
            epochs_seen_.erase(epochs_seen_.begin());
        }
    } else if (item.key == store_keys::peer_key) {
        peer_key_ = item.value;
    } else if (item.key == store_keys::leader) {
        leader_revision_ = item.revision;
        leader_ = item.revision == 0 ? std::nullopt : decode_leader(item.value);
    }
    if (is_loaded()) {
        on_change_();
    }
}

void control_view::handle_listing() {
    if (peer_key_.empty()) {
        make_peer_key();
    }
    on_change_();
}

void control_view::make_peer_key() {
    const std::weak_ptr<int> alive = alive_;
    store_transaction transaction;
    transaction.expected = {{store_keys::peer_key, 0}};
    transaction.writes = {{store_keys::peer_key, random_key(), no_lease}};
    // The watch delivers the key, whether this process or another one creates it.
    store_.commit(transaction, commit_timeout,
                  [this, alive](std::variant<store_commit, store_conflict, store_error>&& result) {
                      if (!alive.expired() && std::holds_alternative<store_error>(result)) {
                          view_.refresh();
                      }
                  });
}

} // namespace egretstile::daemon
