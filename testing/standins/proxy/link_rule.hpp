#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace egretstile::standins {

/// Fault of a link. `cut` applies until the rule is replaced, the other modes to the next
/// `link_rule::count` chunks.
enum class link_mode : std::uint8_t {
    none,
    cut,       ///< Bytes are dropped silently; new connections are accepted, but not forwarded.
    truncate,  ///< `link_rule::bytes` more bytes are forwarded, then the connection is closed.
    duplicate, ///< A chunk is forwarded twice.
    reorder,   ///< A chunk is exchanged with the next one, or its halves if none follows in time.
    drop       ///< A chunk is forwarded, then the connection is closed.
};

inline constexpr std::array<enum_name<link_mode>, 6> link_mode_names{
    {{link_mode::none, "none"},
     {link_mode::cut, "cut"},
     {link_mode::truncate, "truncate"},
     {link_mode::duplicate, "duplicate"},
     {link_mode::reorder, "reorder"},
     {link_mode::drop, "drop"}}};

/// Direction of the bytes that a rule applies to.
enum class link_direction : std::uint8_t { both, to_target, to_client };

inline constexpr std::array<enum_name<link_direction>, 3> link_direction_names{
    {{link_direction::both, "both"},
     {link_direction::to_target, "to_target"},
     {link_direction::to_client, "to_client"}}};

struct link_rule {
    link_mode mode{link_mode::none};
    link_direction direction{link_direction::both};
    std::size_t bytes{0};
    std::uint32_t count{1};
    /// Delay of each chunk; also applies when the mode is `none`.
    std::chrono::milliseconds delay{0};

    bool applies_to(link_direction chunk) const {
        return direction == link_direction::both || direction == chunk;
    }
};

} // namespace egretstile::standins
