#pragma once

#include "jobs/leader_record.hpp"
#include "jobs/prefix_view.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Zero when the text is no epoch. Thread-safe.
epoch_number parse_epoch(const std::string& text);

/// Copy of the control keys in the store: the leader, its epoch and the key with which the
/// processes authenticate each other. Creates that key when the store has none. For the event
/// loop's thread only.
class control_view {
public:
    /// `on_change` is called after each listing of the control keys, and after each change of one
    /// of them that follows the first listing.
    control_view(event_loop& loop, infrastructure::coordination_store& store,
                 milliseconds watch_wait, std::function<void()> on_change);
    control_view(const control_view&) = delete;
    control_view& operator=(const control_view&) = delete;
    control_view(control_view&&) = delete;
    control_view& operator=(control_view&&) = delete;
    ~control_view() = default;

    void start() { view_.start(); }

    void refresh() { view_.refresh(); }

    /// As `refresh`, unless that has been called through this method a moment ago.
    void refresh_if_due();

    /// Whether the keys have been listed at least once.
    bool is_loaded() const { return view_.confirmed_at().has_value(); }

    bool is_connected() const { return view_.is_connected(); }

    const std::optional<leader_record>& leader() const { return leader_; }

    /// Revision of the leader's key; zero when the key is absent.
    revision_number leader_revision() const { return leader_revision_; }

    /// Empty until the key has been read.
    const std::string& peer_key() const { return peer_key_; }

    /// Epoch of the latest leader; zero before the first one.
    epoch_number epoch() const { return epoch_; }

    revision_number epoch_revision() const { return epoch_revision_; }

    /// When this process first saw each of the latest epochs; it may have missed some.
    const std::map<epoch_number, boot_time>& epochs_seen() const { return epochs_seen_; }

private:
    void apply_change(const infrastructure::store_item& item);
    void handle_listing();
    void make_peer_key();

    infrastructure::coordination_store& store_;
    std::function<void()> on_change_;
    std::optional<leader_record> leader_;
    revision_number leader_revision_{0};
    std::string peer_key_;
    epoch_number epoch_{0};
    revision_number epoch_revision_{0};
    std::map<epoch_number, boot_time> epochs_seen_;
    boot_time refreshed_at_{};
    prefix_view view_;
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
