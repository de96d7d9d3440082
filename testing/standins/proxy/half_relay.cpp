#include "proxy/half_relay.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace egretstile::standins {

namespace {

constexpr std::size_t max_chunk_bytes = 65536;
constexpr std::size_t max_pending_bytes = std::size_t{4} << 20U;
// In a protocol of requests and answers no chunk follows before this one was answered.
constexpr std::chrono::milliseconds reorder_wait{50};

} // namespace

half_relay::half_relay(const Poco::Net::StreamSocket& from, const Poco::Net::StreamSocket& to,
                       link_direction direction, link_control& control)
    : from_(from)
    , to_(to)
    , direction_(direction)
    , control_(control) {}

bool half_relay::wants_input() const {
    return !input_ended_ && !must_close_ && pending_bytes_ < max_pending_bytes;
}

void half_relay::drop_chunk(std::size_t bytes) {
    lossy_ = lossy_ || bytes > 0;
    input_ended_ = input_ended_ || bytes == 0;
}

void half_relay::read_chunk() {
    std::array<char, max_chunk_bytes> buffer{};
    const int received = from_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    const std::size_t size = received > 0 ? static_cast<std::size_t>(received) : 0;
    if (lossy_ || control_.is_cut(direction_)) {
        drop_chunk(size);
        return;
    }
    if (size == 0) {
        input_ended_ = true;
        return;
    }
    take_chunk(std::string(buffer.data(), size));
}

void half_relay::take_chunk(std::string chunk) {
    const chunk_fate fate = control_.next_chunk(direction_);
    if (fate.mode == link_mode::truncate) {
        truncate_after_ = fate.bytes;
    }
    if (truncate_after_) {
        chunk.resize(std::min(chunk.size(), *truncate_after_));
        *truncate_after_ -= chunk.size();
        must_close_ = *truncate_after_ == 0;
    }
    if (held_) {
        release_held(chunk, fate.delay);
        return;
    }
    if (fate.mode == link_mode::reorder) {
        held_ = {clock::now() + reorder_wait, std::move(chunk)};
        return;
    }
    enqueue(chunk, fate.delay);
    if (fate.mode == link_mode::duplicate) {
        enqueue(chunk, fate.delay);
    }
    must_close_ = must_close_ || fate.mode == link_mode::drop;
}

void half_relay::release_held(const std::string& next, std::chrono::milliseconds delay) {
    const std::string first = std::exchange(held_, std::nullopt)->bytes;
    if (!next.empty()) {
        enqueue(next + first, delay);
        return;
    }
    const std::size_t middle = first.size() / 2;
    enqueue(first.substr(middle) + first.substr(0, middle), delay);
}

void half_relay::enqueue(const std::string& chunk, std::chrono::milliseconds delay) {
    // Only the first chunk is looked at when it is due, so a shorter delay keeps the order.
    pending_.push_back({clock::now() + delay, chunk});
    pending_bytes_ += chunk.size();
}

void half_relay::forward_due(clock::time_point now) {
    if (held_ && held_->due <= now) {
        release_held({}, std::chrono::milliseconds(0));
    }
    while (!pending_.empty() && pending_.front().due <= now) {
        const std::string chunk = std::move(pending_.front().bytes);
        pending_.pop_front();
        pending_bytes_ -= chunk.size();
        if (control_.is_cut(direction_)) {
            drop_chunk(std::max<std::size_t>(chunk.size(), 1));
        } else if (!lossy_) {
            send_all(chunk);
        }
    }
    const bool drained = pending_.empty() && !held_;
    if (input_ended_ && drained && !output_ended_ && !control_.is_cut(direction_)) {
        to_.shutdownSend();
        output_ended_ = true;
    }
}

void half_relay::send_all(const std::string& chunk) {
    std::span rest(chunk.data(), chunk.size());
    while (!rest.empty()) {
        const int sent = to_.sendBytes(rest.data(), static_cast<int>(rest.size()));
        rest = rest.subspan(static_cast<std::size_t>(std::max(sent, 0)));
    }
    control_.count_bytes(direction_, chunk.size());
}

std::optional<half_relay::clock::time_point> half_relay::next_due() const {
    std::optional<clock::time_point> due;
    if (!pending_.empty()) {
        due = pending_.front().due;
    }
    if (held_) {
        due = due ? std::min(*due, held_->due) : held_->due;
    }
    return due;
}

} // namespace egretstile::standins
