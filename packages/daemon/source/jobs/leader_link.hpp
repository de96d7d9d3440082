#pragma once

#include "jobs/leader_record.hpp"
#include "net/frame_client.hpp"

#include <egretstile/runtime/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Connection to the current leader. Connects to the new leader after a change, and reconnects when
/// the leader sends nothing for a while. For the event loop's thread only.
class leader_link {
public:
    struct handlers {
        std::function<void(wire::message&&)> on_message;
        std::function<void()> on_open;
    };

    /// The connection is reopened when no message arrives for `silence_limit`.
    leader_link(event_loop& loop, wire::hello own_hello, milliseconds silence_limit,
                handlers callbacks);
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;
    leader_link(leader_link&&) = delete;
    leader_link& operator=(leader_link&&) = delete;
    ~leader_link() = default;

    /// Tells the previous leader that its leadership has ended, drops the connection to it and
    /// connects to `leader`, unless that is empty. Does nothing when the leader is unchanged or
    /// `peer_key` is empty. Precondition: `leader` is what the store holds.
    void follow(const std::optional<leader_record>& leader, const std::string& peer_key);

    bool is_open() const { return client_ != nullptr && client_->is_open(); }

    /// Epoch of the leader that is followed; zero when there is none.
    epoch_number epoch() const { return leader_ ? leader_->epoch : 0; }

    const std::optional<leader_record>& leader() const { return leader_; }

    /// False when the connection is not open or its queue is full.
    bool send(const wire::message& message);

private:
    void maintain();
    void drop_client();

    /// Whether the callbacks of this client still count.
    bool is_current(std::uint64_t client_number) const { return client_number == client_number_; }

    event_loop& loop_;
    wire::hello own_hello_;
    milliseconds silence_limit_;
    handlers handlers_;
    std::optional<leader_record> leader_;
    std::unique_ptr<frame_client> client_;
    /// Number of clients that were created or dropped.
    std::uint64_t client_number_{0};
    boot_time last_message_at_{};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
