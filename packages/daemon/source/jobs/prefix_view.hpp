#pragma once

#include <egretstile/infrastructure/key_value/coordination_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// What confirms that a view of keys in the store is up to date.
enum class view_confirmation : std::uint8_t {
    watches, ///< Any answer of a watch. Costs no further calls.
    listings ///< A listing after each watch without changes, because a watch can miss changes.
};

/// Follows the keys below one prefix in the store: lists them, then watches them for changes, and
/// lists them again when a watch fails, so that no change is missed. For the event loop's thread
/// only.
class prefix_view {
public:
    struct handlers {
        /// A key was added, changed or removed; a removed key has revision zero.
        std::function<void(const infrastructure::store_item&)> on_change;
        /// Called after each complete listing of the keys, once `on_change` has been called for the
        /// changes that it showed.
        std::function<void()> on_listed;
    };

    /// `watch_wait` is the longest wait of one watch, and the interval of the listings that confirm
    /// the view. It bounds how long the view can be out of date without an error.
    prefix_view(event_loop& loop, infrastructure::coordination_store& store, std::string prefix,
                milliseconds watch_wait, view_confirmation confirmation, handlers callbacks);
    prefix_view(const prefix_view&) = delete;
    prefix_view& operator=(const prefix_view&) = delete;
    prefix_view(prefix_view&&) = delete;
    prefix_view& operator=(prefix_view&&) = delete;
    ~prefix_view() = default;

    /// Lists the keys and begins to watch them. Call once.
    void start() { list_from("", ++round_); }

    /// Lists the keys again now, unless a listing is in progress.
    void refresh();

    /// Send time of the last call that confirmed the view; nothing before the first listing. Each
    /// change that the store acknowledged before this time is in the view.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

    /// Revision up to which the last complete listing shows all changes; zero before the first.
    revision_number listed_revision() const { return listed_revision_; }

    /// Whether the store answered the last call.
    bool is_connected() const { return connected_; }

private:
    void list_from(const std::string& after, std::uint64_t round);
    void apply_page(const infrastructure::store_page& page, boot_time requested_at,
                    std::uint64_t round);
    void finish_listing(boot_time requested_at, std::uint64_t round);
    void watch(std::uint64_t round);
    void apply_item(const infrastructure::store_item& item);
    void retry_later(infrastructure::store_error error, std::uint64_t round);
    /// Time since the last confirmation; zero before the first one.
    milliseconds unconfirmed_time() const;

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    std::string prefix_;
    milliseconds watch_wait_;
    view_confirmation confirmation_;
    handlers handlers_;
    std::map<std::string, revision_number> revisions_;
    /// Keys that the listing in progress has shown so far.
    std::map<std::string, revision_number> listed_;
    revision_number list_revision_{0};
    revision_number listed_revision_{0};
    revision_number watched_revision_{0};
    std::optional<boot_time> confirmed_at_;
    bool listing_{false};
    bool connected_{false};
    /// Whether a failure before the first complete listing has been logged.
    bool failure_logged_{false};
    /// Number of the current listing with its watches; answers to calls of earlier rounds are
    /// ignored.
    std::uint64_t round_{0};
    /// Callbacks hold a weak reference to it, by which they notice that this object was destroyed.
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

/// Lists all keys below a prefix once; `done` gets an error when a page cannot be read. For the
/// event loop's thread only; `store` must live until `done` is called or the loop ends.
void list_all(
    infrastructure::coordination_store& store, const std::string& prefix,
    std::function<
        void(std::variant<std::vector<infrastructure::store_item>, infrastructure::store_error>&&)>
        done);

} // namespace egretstile::daemon
