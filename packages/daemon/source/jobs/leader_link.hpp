#pragma once

#include "jobs/leader_record.hpp"
#include "net/frame_client.hpp"

#include <egretstile/runtime/net/event_loop.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::daemon {

/// Connection to whoever leads. Follows a change of the leader, and opens a new connection when the
/// leader is silent. For the event loop's thread only.
class leader_link {
public:
    struct handlers {
        std::function<void(wire::message&&)> on_message;
        std::function<void()> on_open;
    };

    /// `silence_limit`: without a message for this long the connection is opened anew.
    leader_link(event_loop& loop, wire::hello own_hello, milliseconds silence_limit,
                handlers callbacks);
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;
    leader_link(leader_link&&) = delete;
    leader_link& operator=(leader_link&&) = delete;
    ~leader_link() = default;

    /// Connects to this leader from now on; nothing: to none.
    void follow(const std::optional<leader_record>& leader, const std::string& peer_key);

    bool is_open() const { return client_ != nullptr && client_->is_open(); }

    /// Epoch of the leader that is followed; zero: none is.
    epoch_number epoch() const { return leader_ ? leader_->epoch : 0; }

    const std::optional<leader_record>& leader() const { return leader_; }

    bool send(const wire::message& message);

private:
    void maintain();
    void drop_client();

    event_loop& loop_;
    wire::hello own_hello_;
    milliseconds silence_limit_;
    handlers handlers_;
    std::optional<leader_record> leader_;
    std::unique_ptr<frame_client> client_;
    boot_time heard_at_{};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
