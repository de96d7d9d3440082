#include "bench_line.hpp"
#include "benches.hpp"

#include <egretstile/core/job/task_placer.hpp>

#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egretstile::bench {
namespace {

constexpr std::size_t vm_count = 1700;
constexpr std::size_t service_count = 20;
constexpr int decisions = 20000;
/// Upper limit in section 3 of docs/design/contended-load-and-client-limits.md.
constexpr double bound_us = 20;

vm_table make_vms(std::mt19937_64& random) {
    vm_table vms;
    for (std::size_t number = 0; number < vm_count; ++number) {
        const vm_name name = "vm-" + std::to_string(number);
        vm_state& vm = vms[name];
        vm.name = name;
        vm.usable = true;
        vm.runner.state = runner_state::ready;
        vm.runner.service = "service-" + std::to_string(number % service_count);
        vm.runner.failure_domain = "domain-" + std::to_string(number % 10);
        vm.runner.capacity = {64000, 250000, 0};
        vm.reserved.cpu_millicores = static_cast<std::int64_t>(random() % 64000);
        vm.health.suspect = random() % 5 == 0;
        vm.health.quick_failures = static_cast<std::uint32_t>(random() % 2);
        vm.health.max_open_starts = 4;
    }
    return vms;
}

void measure(const std::string& strategy, const health_demand& demand, vm_table& vms) {
    separating_placer placer;
    job_entry job{job_spec()};
    step_spec step;
    step.need = {2000, 8000, 0};
    step.fills_idle_cpu = true;
    placement_request request;
    request.job = &job;
    request.step = &step;
    request.health = demand;
    std::vector<double> times_us;
    times_us.reserve(decisions);
    std::size_t placed = 0;
    for (int number = 0; number < decisions; ++number) {
        job.policy.service = "service-" + std::to_string(number % static_cast<int>(service_count));
        const auto before = std::chrono::steady_clock::now();
        placed += placer.choose(request, vms, {}, demand.now) != nullptr ? 1 : 0;
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - before;
        times_us.push_back(elapsed.count());
    }
    print({"runner_health_placement_placed", strategy,
           static_cast<double>(placed) / static_cast<double>(decisions), "share", std::nullopt});
    print({"runner_health_placement_mean", strategy, mean(times_us), "us", bound_us});
    print({"runner_health_placement_p99", strategy, quantile(times_us, 0.99), "us", bound_us});
}

} // namespace

void run_runner_health_bench(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    vm_table vms = make_vms(random);
    health_demand demand;
    demand.now = boot_time(std::chrono::seconds(100));
    measure("health_off", demand, vms);
    demand.enabled = true;
    demand.may_be_trial = true;
    demand.limits_open_starts = true;
    measure("health_on", demand, vms);
    demand.may_be_trial = false;
    demand.needs_proof = true;
    demand.refuses_failed_vms = true;
    demand.failed_vms = {"vm-5", "vm-7", "vm-9"};
    // No VM is proven, so all are checked and none is found.
    measure("health_last_attempt", demand, vms);
}

} // namespace egretstile::bench
