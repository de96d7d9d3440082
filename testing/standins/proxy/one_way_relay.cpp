#include "proxy/one_way_relay.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace egretstile::standins {

namespace {

constexpr std::size_t max_chunk_bytes = 65536;
constexpr std::size_t max_pending_bytes = std::size_t{4} << 20U;
// How long a chunk waits for the next one. In a protocol of requests and answers the next chunk
// does not arrive before this one is answered, so the wait must be bounded.
constexpr std::chrono::milliseconds reorder_wait{50};

} // namespace

one_way_relay::one_way_relay(const Poco::Net::StreamSocket& from, const Poco::Net::StreamSocket& to,
                             link_direction direction, link_control& control)
    : from_(from)
    , to_(to)
    , direction_(direction)
    , control_(control) {}

bool one_way_relay::wants_input() const {
    return !input_ended_ && !must_close_ && pending_bytes_ < max_pending_bytes;
}

void one_way_relay::drop_chunk(std::size_t bytes) {
    has_lost_bytes_ = has_lost_bytes_ || bytes > 0;
    input_ended_ = input_ended_ || bytes == 0;
}

void one_way_relay::read_chunk() {
    std::array<char, max_chunk_bytes> buffer{};
    const int received = from_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    const std::size_t size = received > 0 ? static_cast<std::size_t>(received) : 0;
    if (has_lost_bytes_ || control_.is_cut(direction_)) {
        drop_chunk(size);
        return;
    }
    if (size == 0) {
        input_ended_ = true;
        return;
    }
    process_chunk(std::string(buffer.data(), size));
}

void one_way_relay::process_chunk(std::string chunk) {
    const chunk_action action = control_.next_chunk(direction_);
    if (action.mode == link_mode::truncate) {
        truncate_after_ = action.bytes;
    }
    if (truncate_after_) {
        chunk.resize(std::min(chunk.size(), *truncate_after_));
        *truncate_after_ -= chunk.size();
        must_close_ = *truncate_after_ == 0;
    }
    if (reorder_chunk_) {
        enqueue_reordered(chunk, action.delay);
        return;
    }
    if (action.mode == link_mode::reorder) {
        reorder_chunk_ = {clock::now() + reorder_wait, std::move(chunk)};
        return;
    }
    enqueue(chunk, action.delay);
    if (action.mode == link_mode::duplicate) {
        enqueue(chunk, action.delay);
    }
    must_close_ = must_close_ || action.mode == link_mode::drop;
}

void one_way_relay::enqueue_reordered(const std::string& next, std::chrono::milliseconds delay) {
    const std::string first = std::exchange(reorder_chunk_, std::nullopt)->bytes;
    if (!next.empty()) {
        enqueue(next + first, delay);
        return;
    }
    const std::size_t middle = first.size() / 2;
    enqueue(first.substr(middle) + first.substr(0, middle), delay);
}

void one_way_relay::enqueue(const std::string& chunk, std::chrono::milliseconds delay) {
    // Chunks leave the queue in order, so one with a shorter delay cannot overtake an earlier one.
    pending_.push_back({clock::now() + delay, chunk});
    pending_bytes_ += chunk.size();
}

void one_way_relay::forward_due(clock::time_point now) {
    if (reorder_chunk_ && reorder_chunk_->due <= now) {
        enqueue_reordered({}, std::chrono::milliseconds(0));
    }
    while (!pending_.empty() && pending_.front().due <= now) {
        const std::string chunk = std::move(pending_.front().bytes);
        pending_.pop_front();
        pending_bytes_ -= chunk.size();
        if (control_.is_cut(direction_)) {
            drop_chunk(std::max<std::size_t>(chunk.size(), 1));
        } else if (!has_lost_bytes_) {
            send_all(chunk);
        }
    }
    const bool nothing_pending = pending_.empty() && !reorder_chunk_;
    if (input_ended_ && nothing_pending && !output_ended_ && !control_.is_cut(direction_)) {
        to_.shutdownSend();
        output_ended_ = true;
    }
}

void one_way_relay::send_all(const std::string& chunk) {
    std::span rest(chunk.data(), chunk.size());
    while (!rest.empty()) {
        const int sent = to_.sendBytes(rest.data(), static_cast<int>(rest.size()));
        rest = rest.subspan(static_cast<std::size_t>(std::max(sent, 0)));
    }
    control_.count_bytes(direction_, chunk.size());
}

std::optional<one_way_relay::clock::time_point> one_way_relay::next_due() const {
    std::optional<clock::time_point> due;
    if (!pending_.empty()) {
        due = pending_.front().due;
    }
    if (reorder_chunk_) {
        due = due ? std::min(*due, reorder_chunk_->due) : reorder_chunk_->due;
    }
    return due;
}

} // namespace egretstile::standins
