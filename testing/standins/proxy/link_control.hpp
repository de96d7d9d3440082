#pragma once

#include "proxy/link_rule.hpp"

#include <cstdint>
#include <mutex>
#include <string>

namespace egretstile::standins {

struct link_target {
    std::string host{"127.0.0.1"};
    std::uint16_t port{0};
};

struct link_counts {
    std::uint64_t connections{0};
    std::uint64_t bytes_to_target{0};
    std::uint64_t bytes_to_client{0};
};

/// Fault and delay that the relay applies to a chunk. `bytes` is the argument of `truncate`.
struct chunk_action {
    link_mode mode{link_mode::none};
    std::size_t bytes{0};
    std::chrono::milliseconds delay{0};
};

/// Rule, target and counts of one link. Its connections and the admin interface share it.
/// Thread-safe.
class link_control {
public:
    explicit link_control(link_target target)
        : target_(std::move(target)) {}

    void set_rule(const link_rule& rule);
    void set_target(const link_target& target);
    link_target target() const;

    /// Makes the relays reset all connections that exist at the time of the call.
    void reset_connections();
    /// Number of calls of `reset_connections`.
    std::uint64_t resets() const;

    bool is_cut(link_direction direction) const;

    /// Action for the next chunk in this direction. If the rule applies to the direction and its
    /// mode is neither `none` nor `cut`, reduces its `count` by one; at 0 the mode becomes `none`.
    chunk_action next_chunk(link_direction direction);

    void count_connection();
    void count_bytes(link_direction direction, std::size_t bytes);
    link_counts counts() const;

private:
    mutable std::mutex mutex_;
    link_target target_;
    link_rule rule_;
    std::uint64_t resets_{0};
    link_counts counts_;
};

} // namespace egretstile::standins
