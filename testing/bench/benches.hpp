#pragma once

#include <cstdint>

namespace egretstile::bench {

/// Time of one placement decision at the two-year target: 1,700 VMs, 23,000 runs.
void run_placement_bench(std::uint64_t seed);

/// Time of one round of the task queue with 23,000 waiting tasks of 60 teams, and of one VM report
/// in the interference model and controller.
void run_queue_bench(std::uint64_t seed);

/// Time of one routing decision at 11 and 400 upstreams.
void run_routing_bench(std::uint64_t seed);

/// Answer times of the routing policies in a queueing model with several entries, reports that lag
/// and upstreams slowed down in turns. A trial of the decisions, not of the system.
void run_routing_trial(std::uint64_t seed);

/// Imbalance of shards and tasks moved by a change of the entries.
void run_shard_bench(std::uint64_t seed);

} // namespace egretstile::bench
