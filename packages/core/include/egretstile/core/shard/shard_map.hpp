#pragma once

#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace egretstile {

/// Number of shards of a deployment whose settings do not set it. The number of shards must not
/// change while the deployment has tasks, because every entry must map a key to the same shard.
constexpr std::uint32_t default_shard_count = 16;

/// Shard of the task with this key, by hash. Precondition: `shard_count` is above zero.
/// Thread-safe.
shard_number shard_of(std::string_view key, std::uint32_t shard_count);

/// Entry that should own the shard, by rendezvous hashing: when an entry joins or leaves, only the
/// shards that it gains or loses are assigned to another entry. Nothing when `entries` is empty.
/// The order of `entries` does not matter. Thread-safe.
std::optional<entry_id> preferred_entry(shard_number shard, const std::vector<entry_id>& entries);

} // namespace egretstile
