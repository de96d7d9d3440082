#pragma once

#include "jobs/leader_record.hpp"
#include "jobs/prefix_view.hpp"

#include <functional>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// What all processes have to know: who leads, and the key by which they authenticate each other.
/// Makes that key when there is none. For the event loop's thread only.
class control_view {
public:
    /// `on_change` is called after each change of the leader and each listing.
    control_view(event_loop& loop, infrastructure::coordination_store& store,
                 milliseconds watch_wait, std::function<void()> on_change);
    control_view(const control_view&) = delete;
    control_view& operator=(const control_view&) = delete;
    control_view(control_view&&) = delete;
    control_view& operator=(control_view&&) = delete;
    ~control_view() = default;

    void start() { view_.start(); }

    void refresh() { view_.refresh(); }

    /// Whether the keys have been listed.
    bool is_known() const { return view_.confirmed_at().has_value(); }

    bool is_connected() const { return view_.is_connected(); }

    const std::optional<leader_record>& leader() const { return leader_; }

    /// Revision of the leader's key; zero: there is none.
    revision_number leader_revision() const { return leader_revision_; }

    /// Empty: not known yet.
    const std::string& peer_key() const { return peer_key_; }

    epoch_number epoch() const { return epoch_; }

    revision_number epoch_revision() const { return epoch_revision_; }

    /// Whether the leader of this epoch has resigned.
    bool is_released(epoch_number epoch) const { return released_ == epoch; }

    /// Whether no leader before this epoch gives permissions any more.
    bool is_settled(epoch_number epoch) const { return settled_ == epoch; }

private:
    void take_change(const infrastructure::store_item& item);
    void listed();
    void make_peer_key();

    infrastructure::coordination_store& store_;
    std::function<void()> on_change_;
    std::optional<leader_record> leader_;
    revision_number leader_revision_{0};
    std::string peer_key_;
    epoch_number epoch_{0};
    revision_number epoch_revision_{0};
    epoch_number released_{0};
    epoch_number settled_{0};
    prefix_view view_;
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
