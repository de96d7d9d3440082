#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/task/task.hpp>

#include <vector>

namespace egretstile {

/// Value of the key `shard/N` in the key-value service, where N is the shard number. Every write is
/// a compare-and-swap, so only the owner with the highest epoch can change it.
struct shard_record {
    shard_number shard{0};
    epoch_number epoch{0};
    /// Entry that owns the shard; empty when the shard was released.
    entry_id owner;
    std::vector<task_record> tasks;

    friend bool operator==(const shard_record&, const shard_record&) = default;
};

} // namespace egretstile
