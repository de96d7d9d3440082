#pragma once

#include "proxy/link_control.hpp"

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace egretstile::standins {

/// One direction of a relayed connection: reads chunks, applies the link's rule and forwards them
/// when they are due. Not thread-safe.
class half_relay {
public:
    using clock = std::chrono::steady_clock;

    half_relay(const Poco::Net::StreamSocket& from, const Poco::Net::StreamSocket& to,
               link_direction direction, link_control& control);

    /// Whether bytes were dropped; the rest of the stream is meaningless then.
    bool lossy() const { return lossy_; }

    /// Whether a rule closes the connection now.
    bool must_close() const { return must_close_ && pending_.empty(); }

    /// Whether the sender has closed its side.
    bool input_ended() const { return input_ended_; }

    bool finished() const { return output_ended_; }

    bool wants_input() const;

    /// Reads one chunk; call when input is available. Throws Poco::Exception.
    void read_chunk();

    /// Forwards what is due at `now`. Throws Poco::Exception.
    void forward_due(clock::time_point now);

    /// When `forward_due` has something to do; nothing: not before the next chunk.
    std::optional<clock::time_point> next_due() const;

private:
    struct pending_chunk {
        clock::time_point due;
        std::string bytes;
    };

    void drop_chunk(std::size_t bytes);
    void take_chunk(std::string chunk);
    void enqueue(const std::string& chunk, std::chrono::milliseconds delay);
    void release_held(const std::string& next, std::chrono::milliseconds delay);
    void send_all(const std::string& chunk);

    Poco::Net::StreamSocket from_;
    Poco::Net::StreamSocket to_;
    link_direction direction_;
    link_control& control_;
    std::deque<pending_chunk> pending_;
    std::size_t pending_bytes_{0};
    /// Chunk of the `reorder` rule, and when its halves change places instead.
    std::optional<pending_chunk> held_;
    /// Bytes until the end of a truncated connection.
    std::optional<std::size_t> truncate_after_;
    bool lossy_{false};
    bool must_close_{false};
    bool input_ended_{false};
    bool output_ended_{false};
};

} // namespace egretstile::standins
