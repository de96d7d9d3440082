#pragma once

#include <cstdint>

namespace egretstile::bench {

/// Time of one placement decision with 1,700 VMs and 23,000 runs, the target size in two years.
void run_placement_bench(std::uint64_t seed);

/// Time in which a leader chooses among 1,700 VMs of 20 services for a task of a job, and in which
/// it accounts for the room of filling tasks.
void run_job_placement_bench(std::uint64_t seed);

/// Time of one placement of a task of a job with 1,700 VMs, with and without the health of runners.
void run_runner_health_bench(std::uint64_t seed);

/// Time of one round of the task queue with 23,000 waiting tasks of 60 teams, and time in which the
/// interference model and controller process one report of a VM.
void run_queue_bench(std::uint64_t seed);

/// Time of one routing decision with 11 and with 400 upstreams.
void run_routing_bench(std::uint64_t seed);

/// Response times of the routing policies in a queueing model with several entries, delayed reports
/// and upstreams that are slowed down in turn. Simulates the decisions, not the whole system.
void run_routing_trial(std::uint64_t seed);

/// Time of one decision whether a task waits for its rack, with 100 racks, 1,700 VMs, 23,000 runs
/// and 2,000 waiting tasks.
void run_locality_bench(std::uint64_t seed);

/// Completion times of tasks with data on a rack under four rules of waiting for it, over the same
/// arrivals. Simulates the decisions, not the whole system.
void run_locality_trial(std::uint64_t seed);

/// Imbalance between shards, and share of the tasks that move when an entry joins or leaves.
void run_shard_bench(std::uint64_t seed);

} // namespace egretstile::bench
