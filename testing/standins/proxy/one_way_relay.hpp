#pragma once

#include "proxy/link_control.hpp"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace egretstile::standins {

/// Relays one direction of a connection. Reads chunks, applies the link's rule to them and forwards
/// them when their delay has passed. Not thread-safe.
class one_way_relay {
public:
    using clock = std::chrono::steady_clock;

    one_way_relay(const Poco::Net::StreamSocket& from, const Poco::Net::StreamSocket& to,
                  link_direction direction, link_control& control);

    /// Whether a cut dropped bytes. The rest of the stream is then dropped too, because the
    /// receiver could not make sense of it.
    bool has_lost_bytes() const { return has_lost_bytes_; }

    /// Whether a rule requires that the connection is closed now.
    bool must_close() const { return must_close_ && pending_.empty(); }

    /// Whether the sender has closed its side.
    bool input_ended() const { return input_ended_; }

    /// Whether the end of the stream was forwarded to the receiver.
    bool finished() const { return output_ended_; }

    bool wants_input() const;

    /// Reads one chunk. Must be called when input is available, otherwise it blocks. Throws
    /// Poco::Exception.
    void read_chunk();

    /// Forwards the chunks that are due at `now`. Throws Poco::Exception.
    void forward_due(clock::time_point now);

    /// When `forward_due` must be called next. Empty when no chunk is pending.
    std::optional<clock::time_point> next_due() const;

private:
    struct pending_chunk {
        clock::time_point due;
        std::string bytes;
    };

    /// Drops a chunk of this size; 0 bytes are the end of the input.
    void drop_chunk(std::size_t bytes);
    void process_chunk(std::string chunk);
    void enqueue(const std::string& chunk, std::chrono::milliseconds delay);
    /// Enqueues `next` and then the chunk that waited for it. With an empty `next`, enqueues the
    /// halves of the waiting chunk in exchanged order.
    void enqueue_reordered(const std::string& next, std::chrono::milliseconds delay);
    void send_all(const std::string& chunk);

    Poco::Net::StreamSocket from_;
    Poco::Net::StreamSocket to_;
    link_direction direction_;
    link_control& control_;
    std::deque<pending_chunk> pending_;
    std::size_t pending_bytes_{0};
    /// Chunk that waits for the next one under the rule `reorder`. When it is due before a next
    /// chunk has arrived, its own halves are exchanged instead.
    std::optional<pending_chunk> reorder_chunk_;
    /// Bytes that may still be forwarded before the rule `truncate` closes the connection.
    std::optional<std::size_t> truncate_after_;
    bool has_lost_bytes_{false};
    bool must_close_{false};
    bool input_ended_{false};
    bool output_ended_{false};
};

} // namespace egretstile::standins
