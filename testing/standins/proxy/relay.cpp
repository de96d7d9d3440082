#include "proxy/relay.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace egretstile::standins {

namespace {

// Maximum time until a relay detects a changed rule or a reset.
constexpr std::chrono::milliseconds rule_poll_interval{10};
constexpr Poco::Timespan::TimeDiff rule_poll_interval_us = 10000;
constexpr int connect_timeout_s = 2;
// The process of a peer may be stopped, so that it never reads; sending must not block forever.
constexpr int send_timeout_s = 30;

int poll_timeout_ms(const one_way_relay& first, const one_way_relay& second) {
    const one_way_relay::clock::time_point now = one_way_relay::clock::now();
    one_way_relay::clock::time_point due = now + rule_poll_interval;
    for (const one_way_relay* direction : {&first, &second}) {
        due = std::min(due, direction->next_due().value_or(due));
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(due - now);
    return static_cast<int>(std::max<std::chrono::milliseconds::rep>(remaining.count(), 0));
}

} // namespace

relay::relay(const Poco::Net::StreamSocket& client, std::shared_ptr<link_control> control)
    : client_(client)
    , control_(std::move(control))
    , initial_resets_(control_->resets()) {}

void relay::run() {
    control_->count_connection();
    try {
        client_.setNoDelay(true);
        if (!wait_for_target()) {
            close(true);
            return;
        }
        to_target_ =
            std::make_unique<one_way_relay>(client_, target_, link_direction::to_target, *control_);
        to_client_ =
            std::make_unique<one_way_relay>(target_, client_, link_direction::to_client, *control_);
        while (step()) {
        }
    } catch (const Poco::Exception&) {
        close(false);
    }
}

bool relay::wait_for_target() {
    // Set when the client sends data or closes the connection during the cut.
    bool input_lost = false;
    while (control_->is_cut(link_direction::to_target)) {
        if (control_->resets() != initial_resets_) {
            return false;
        }
        if (input_lost ||
            !client_.poll(Poco::Timespan(rule_poll_interval_us), Poco::Net::Socket::SELECT_READ)) {
            std::this_thread::sleep_for(rule_poll_interval);
            continue;
        }
        input_lost = true;
    }
    if (input_lost) {
        return false;
    }
    const link_target target = control_->target();
    target_.connect(Poco::Net::SocketAddress(target.host, target.port),
                    Poco::Timespan(connect_timeout_s, 0));
    for (Poco::Net::StreamSocket* socket : {&client_, &target_}) {
        socket->setNoDelay(true);
        socket->setSendTimeout(Poco::Timespan(send_timeout_s, 0));
    }
    return true;
}

bool relay::broken_by_ended_cut() const {
    return (to_target_->has_lost_bytes() && !control_->is_cut(link_direction::to_target)) ||
           (to_client_->has_lost_bytes() && !control_->is_cut(link_direction::to_client));
}

bool relay::step() {
    wait_for_input();
    const one_way_relay::clock::time_point now = one_way_relay::clock::now();
    to_target_->forward_due(now);
    to_client_->forward_due(now);
    if (control_->resets() != initial_resets_ || broken_by_ended_cut()) {
        close(true);
        return false;
    }
    if (to_target_->must_close() || to_client_->must_close() ||
        (to_target_->finished() && to_client_->finished())) {
        close(false);
        return false;
    }
    return true;
}

void relay::wait_for_input() {
    // `poll` ignores negative descriptors.
    std::array<pollfd, 2> polled{
        {{to_target_->wants_input() ? client_.impl()->sockfd() : -1, POLLIN, 0},
         {to_client_->wants_input() ? target_.impl()->sockfd() : -1, POLLIN, 0}}};
    const int ready =
        ::poll(polled.data(), polled.size(), poll_timeout_ms(*to_target_, *to_client_));
    if (ready <= 0) {
        return;
    }
    if (polled[0].revents != 0) {
        to_target_->read_chunk();
    }
    if (polled[1].revents != 0) {
        to_client_->read_chunk();
    }
}

void relay::close(bool reset) {
    for (Poco::Net::StreamSocket* socket : {&client_, &target_}) {
        if (!socket->impl()->initialized()) {
            continue;
        }
        if (reset) {
            socket->setLinger(true, 0);
        }
        socket->close();
    }
}

} // namespace egretstile::standins
