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

/// What a chunk meets: a fault with its argument, and a delay.
struct chunk_fate {
    link_mode mode{link_mode::none};
    std::size_t bytes{0};
    std::chrono::milliseconds delay{0};
};

/// Rule, target and counts of one link, shared by its connections and the admin interface.
/// Thread-safe.
class link_control {
public:
    explicit link_control(link_target target)
        : target_(std::move(target)) {}

    void set_rule(const link_rule& rule);
    void set_target(const link_target& target);
    link_target target() const;

    /// Closes all connections that exist now.
    void reset_connections();
    std::uint64_t resets() const;

    bool is_cut(link_direction direction) const;

    /// Fate of the next chunk; uses up one of the rule's `count`.
    chunk_fate next_chunk(link_direction direction);

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
