#include "benches.hpp"
#include "test_seed.hpp"

#include <iostream>

int main() {
    const std::uint64_t seed = egretstile::testing::test_seed();
    std::cout << "measure,strategy,value,unit,bound,met\n";
    egretstile::bench::run_placement_bench(seed);
    egretstile::bench::run_job_placement_bench(seed);
    egretstile::bench::run_runner_health_bench(seed);
    egretstile::bench::run_queue_bench(seed);
    egretstile::bench::run_routing_bench(seed);
    egretstile::bench::run_routing_trial(seed);
    egretstile::bench::run_shard_bench(seed);
    egretstile::bench::run_locality_bench(seed);
    egretstile::bench::run_locality_trial(seed);
    return 0;
}
