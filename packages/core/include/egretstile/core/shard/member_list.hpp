#pragma once

#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

/// An entry process and the address at which agents and other entries connect to it.
struct member {
    entry_id id;
    std::string host;
    std::uint16_t port{0};

    friend bool operator==(const member&, const member&) = default;
};

/// Value of the key `members` in the key-value service: all entries of the deployment.
struct member_list {
    std::vector<member> members;

    friend bool operator==(const member_list&, const member_list&) = default;
};

} // namespace egretstile
