#pragma once

#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

/// An entry process, with the address of its port for agents and other entries.
struct member {
    entry_id id;
    std::string host;
    std::uint16_t port{0};

    friend bool operator==(const member&, const member&) = default;
};

/// Value of key `members` in the key-value service.
struct member_list {
    std::vector<member> members;

    friend bool operator==(const member_list&, const member_list&) = default;
};

} // namespace egretstile
