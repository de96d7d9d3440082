#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/runtime/net/endpoint.hpp>

#include <optional>
#include <string>

namespace egretstile::daemon {

/// Value of the leader's key.
struct leader_record {
    epoch_number epoch{0};
    /// Address for agents and entries.
    endpoint address;
    /// Name of the entry that leads.
    std::string name;

    friend bool operator==(const leader_record&, const leader_record&) = default;
};

/// Text of the form "EPOCH ADDRESS NAME". Thread-safe.
std::string encode_leader(const leader_record& record);
/// Nothing when the text does not have the form of `encode_leader`. Thread-safe.
std::optional<leader_record> decode_leader(const std::string& text);

} // namespace egretstile::daemon
