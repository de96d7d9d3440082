#pragma once

#include <egretstile/infrastructure/key_value/coordination_store.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Follows the keys of one prefix: lists them, then watches them, and lists them again when a watch
/// fails, so that no change is missed. For the event loop's thread only.
class prefix_view {
public:
    struct handlers {
        /// A key was added or changed; revision zero: it was removed.
        std::function<void(const infrastructure::store_item&)> on_change;
        /// All keys have been listed; the changes were handed over before. Called again after each
        /// later listing.
        std::function<void()> on_listed;
    };

    /// `watch_wait` bounds how old the view can be without notice.
    prefix_view(event_loop& loop, infrastructure::coordination_store& store, std::string prefix,
                milliseconds watch_wait, handlers callbacks);
    prefix_view(const prefix_view&) = delete;
    prefix_view& operator=(const prefix_view&) = delete;
    prefix_view(prefix_view&&) = delete;
    prefix_view& operator=(prefix_view&&) = delete;
    ~prefix_view() = default;

    /// Call once.
    void start() { list_from("", ++round_); }

    /// Lists the keys again now.
    void refresh();

    /// When the store last confirmed that the view was up to date; nothing: not yet.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

    /// Whether the store answered the last call.
    bool is_connected() const { return connected_; }

private:
    void list_from(const std::string& after, std::uint64_t round);
    void take_page(const infrastructure::store_page& page, boot_time asked_at, std::uint64_t round);
    void finish_listing(boot_time asked_at, std::uint64_t round);
    void watch(std::uint64_t round);
    void take_item(const infrastructure::store_item& item);
    void retry_later(infrastructure::store_error error, std::uint64_t round);

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    std::string prefix_;
    milliseconds watch_wait_;
    handlers handlers_;
    std::map<std::string, revision_number> revisions_;
    /// Keys of the listing under way.
    std::map<std::string, revision_number> listed_;
    revision_number list_revision_{0};
    revision_number watched_to_{0};
    std::optional<boot_time> confirmed_at_;
    bool connected_{false};
    /// The log says that the first listing failed.
    bool failure_noted_{false};
    /// Answers of earlier rounds are ignored.
    std::uint64_t round_{0};
    /// Answers after the destruction find it expired.
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

/// Lists all keys of a prefix once; gives an error when a page cannot be read. For the event loop's
/// thread only; `store` must live until `done` is called or the loop ends.
void list_all(
    infrastructure::coordination_store& store, const std::string& prefix,
    std::function<
        void(std::variant<std::vector<infrastructure::store_item>, infrastructure::store_error>&&)>
        done);

} // namespace egretstile::daemon
