#include <egretstile/core/shard/shard_map.hpp>

#include <xxhash.h>

namespace egretstile {

shard_number shard_of(std::string_view key, std::uint32_t shard_count) {
    return static_cast<shard_number>(XXH3_64bits(key.data(), key.size()) % shard_count);
}

std::optional<entry_id> preferred_entry(shard_number shard, const std::vector<entry_id>& entries) {
    std::optional<entry_id> best;
    std::uint64_t best_score = 0;
    for (const entry_id& entry : entries) {
        const std::uint64_t score = XXH3_64bits_withSeed(entry.data(), entry.size(), shard);
        const bool is_better =
            !best || score > best_score || (score == best_score && entry < *best);
        if (is_better) {
            best = entry;
            best_score = score;
        }
    }
    return best;
}

} // namespace egretstile
