#include "bench_line.hpp"
#include "benches.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/image_separating_placer.hpp>
#include <egretstile/core/job/room_account.hpp>

#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace egretstile::bench {
namespace {

constexpr std::size_t vm_count = 1700;
constexpr std::size_t service_count = 20;
constexpr std::size_t image_count = 5;
constexpr std::size_t serving_runs = 3;
constexpr std::size_t filling_runs = 6;
constexpr int decisions = 5000;
constexpr int accounts = 200;
/// Upper limit in section 1 of the design document.
constexpr double bound_us = 20;
constexpr boot_time present(milliseconds(60000));

std::string serving_image(std::size_t number) {
    return "serving-image-" + std::to_string(number % image_count);
}

std::string filling_image(std::size_t number) {
    return "filling-image-" + std::to_string(number % image_count);
}

vm_state make_vm(std::size_t number, std::mt19937_64& random) {
    vm_state vm;
    vm.name = "vm-" + std::to_string(number);
    vm.usable = true;
    vm.last_report_at = present;
    vm.runner.service = "service-" + std::to_string(number % service_count);
    vm.runner.failure_domain = "domain-" + std::to_string(number % 10);
    vm.runner.state = runner_state::ready;
    vm.runner.capacity = {64000, 250000, 0};
    for (std::size_t i = 0; i < serving_runs; ++i) {
        vm_run run;
        run.reserved = {8000, 8000, 0};
        run.requested_millicores = 8000;
        run.serves = true;
        run.image = serving_image(random());
        vm.add_run({{"serving-" + vm.name, 0, 0, static_cast<std::uint32_t>(i)}, 1}, run);
    }
    for (const auto& [image, millicores] : vm.serving_by_image) {
        const double headroom = 1.5 + static_cast<double>(random() % 40) / 10.0;
        vm.serving.push_back({image, headroom, 0.2, true});
    }
    vm.serving_used_millicores = 9000;
    for (std::size_t i = 0; i < filling_runs; ++i) {
        vm_run run;
        run.requested_millicores = 2000;
        run.fills_idle_cpu = true;
        run.image = filling_image(random());
        vm.add_run({{"filling-" + vm.name, 0, 0, static_cast<std::uint32_t>(i)}, 1}, run);
    }
    return vm;
}

pressure_model make_pressures(std::mt19937_64& random) {
    pressure_model model;
    for (std::size_t serving = 0; serving < image_count; ++serving) {
        for (std::size_t filling = 0; filling < image_count; ++filling) {
            model.merge_pressure({serving_image(serving), filling_image(filling),
                                  static_cast<double>(random() % 30), 0.1});
        }
    }
    return model;
}

void measure_decisions(const std::string& kind, const std::string& strategy, task_placer& placer,
                       const placement_request& request, vm_table& vms) {
    std::vector<double> times_us;
    times_us.reserve(decisions);
    std::size_t placed = 0;
    for (int i = 0; i < decisions; ++i) {
        const auto before = std::chrono::steady_clock::now();
        placed += placer.choose(request, vms, {}, present) == nullptr ? 0 : 1;
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - before;
        times_us.push_back(elapsed.count());
    }
    const std::string name = "job_placement_" + kind;
    print({name + "_placed", strategy, static_cast<double>(placed) / decisions, "share",
           std::nullopt});
    print({name + "_mean", strategy, mean(times_us), "us", bound_us});
    print({name + "_p99", strategy, quantile(times_us, 0.99), "us", bound_us});
}

void measure_account(const vm_table& vms) {
    std::vector<double> times_us;
    times_us.reserve(accounts);
    for (int i = 0; i < accounts; ++i) {
        const auto before = std::chrono::steady_clock::now();
        const std::size_t services = account_room(
                                         vms, {}, [](const std::string&) { return 2.2; }, present)
                                         .size();
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - before;
        times_us.push_back(services == service_count ? elapsed.count() : 0.0);
    }
    print({"room_account_mean", "", mean(times_us), "us", std::nullopt});
}

} // namespace

void run_job_placement_bench(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    vm_table vms;
    for (std::size_t number = 0; number < vm_count; ++number) {
        vm_state vm = make_vm(number, random);
        const vm_name name = vm.name;
        vms.emplace(name, std::move(vm));
    }
    const pressure_model pressures = make_pressures(random);
    job_entry job{job_spec()};
    job.policy.service = "service-3";
    step_spec serving;
    serving.need = {4000, 4000, 0};
    serving.target_latency_ms = 100;
    serving.image = serving_image(0);
    step_spec filling;
    filling.need = {7000, 1000, 0};
    filling.fills_idle_cpu = true;
    filling.image = filling_image(0);
    placement_request request;
    request.job = &job;
    request.task = {"job", 0, 0, 0};
    request.pressures = &pressures;
    separating_placer separating;
    image_separating_placer by_image;
    request.step = &serving;
    measure_decisions("serving", "separating", separating, request, vms);
    measure_decisions("serving", "image_separating", by_image, request, vms);
    request.step = &filling;
    measure_decisions("filling", "separating", separating, request, vms);
    request.placement_headroom = sharing_model{}.contended_placement_headroom;
    measure_decisions("filling", "image_separating", by_image, request, vms);
    measure_account(vms);
}

} // namespace egretstile::bench
