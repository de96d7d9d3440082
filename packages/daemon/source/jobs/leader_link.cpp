#include "jobs/leader_link.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

constexpr milliseconds maintenance_interval{100};
/// For how long the connection to a former leader stays open after the last message to it. Closing
/// it with unread bytes would discard the message.
constexpr milliseconds last_message_time{200};

} // namespace

leader_link::leader_link(event_loop& loop, wire::hello own_hello, milliseconds silence_limit,
                         handlers callbacks)
    : loop_(loop)
    , own_hello_(std::move(own_hello))
    , silence_limit_(silence_limit)
    , handlers_(std::move(callbacks)) {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_every(maintenance_interval, [this, alive] {
        if (!alive.expired()) {
            maintain();
        }
    });
}

void leader_link::follow(const std::optional<leader_record>& leader, const std::string& peer_key) {
    if (leader == leader_ || peer_key.empty()) {
        return;
    }
    if (client_ != nullptr && client_->is_open()) {
        client_->send(wire::leadership_ended{leader_->epoch});
    }
    drop_client();
    leader_ = leader;
    if (!leader_) {
        return;
    }
    // Copied into the callbacks, because a connection may close after the leader has changed.
    const std::string fields = "leader=" + leader->name + " epoch=" + std::to_string(leader->epoch);
    frame_connection::handlers callbacks;
    const std::uint64_t number = ++client_number_;
    callbacks.on_open = [this, fields, number](frame_connection& /*connection*/,
                                               const wire::hello& /*hello*/) {
        if (!is_current(number)) {
            return;
        }
        last_message_at_ = boot_now();
        write_log(log_part::leader, log_level::info, "Connected to the leader.", fields);
        handlers_.on_open();
    };
    callbacks.on_message = [this, number](frame_connection& /*connection*/,
                                          wire::message&& message) {
        if (!is_current(number)) {
            return;
        }
        last_message_at_ = boot_now();
        handlers_.on_message(std::move(message));
    };
    callbacks.on_closed = [fields](frame_connection& connection) {
        write_log(log_part::leader, log_level::info, "The connection to the leader closed.",
                  fields + " " + connection.describe_end());
    };
    client_ = std::make_unique<frame_client>(loop_, leader_->address, peer_key, own_hello_,
                                             std::move(callbacks));
    client_->maintain();
}

bool leader_link::send(const wire::message& message) {
    return client_ != nullptr && client_->send(message);
}

void leader_link::maintain() {
    if (client_ == nullptr) {
        return;
    }
    if (client_->is_open() && boot_now() >= last_message_at_ + silence_limit_) {
        client_->reset();
    }
    client_->maintain();
}

void leader_link::drop_client() {
    if (client_ == nullptr) {
        return;
    }
    ++client_number_;
    // This may be called from one of the client's callbacks, so the client is destroyed later.
    const std::shared_ptr<frame_client> former_client = std::move(client_);
    loop_.call_at(boot_now() + last_message_time, [former_client] {});
}

} // namespace egretstile::daemon
