#include "bench_line.hpp"
#include "benches.hpp"

#include <egretstile/core/job/locality_wait.hpp>
#include <egretstile/core/job/rack_forecast.hpp>
#include <egretstile/core/job/run_time_history.hpp>
#include <egretstile/core/job/task_placer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::bench {
namespace {

constexpr std::size_t rack_count = 100;
constexpr std::size_t vm_count = 1700;
constexpr std::size_t run_count = 23000;
constexpr std::size_t waiting_count = 2000;
constexpr int passes = 50;
/// Upper limit of the design page.
constexpr double bound_us = 20;

place_need need_of_one_core() {
    place_need need;
    need.reserved.cpu_millicores = 1300;
    return need;
}

vm_table make_vms(std::mt19937_64& random, boot_time now) {
    vm_table vms;
    std::vector<vm_state*> by_number;
    for (std::size_t i = 0; i < vm_count; ++i) {
        const vm_name name = "vm-" + std::to_string(i);
        vm_state& vm = vms[name];
        vm.name = name;
        vm.usable = true;
        vm.runner.service = "service";
        vm.runner.failure_domain = "domain-" + std::to_string(i % 10);
        vm.runner.rack = "rack-" + std::to_string(i % rack_count);
        vm.runner.state = runner_state::ready;
        vm.runner.capacity = {18000, 250000, 0};
        by_number.push_back(&vm);
    }
    for (std::size_t i = 0; i < run_count; ++i) {
        vm_run run;
        run.reserved.cpu_millicores = 1300;
        run.expected_end = now + milliseconds(static_cast<int>(random() % 2000));
        by_number[i % vm_count]->add_run(
            {{"job-" + std::to_string(random() % 3000), 0, 0, static_cast<std::uint32_t>(i)}, 1},
            run);
    }
    return vms;
}

job_entry make_job() {
    job_spec spec;
    step_spec step;
    step.need = need_of_one_core().reserved;
    step.estimate_ms = 650;
    spec.steps = {step};
    job_entry job(std::move(spec));
    job.policy.service = "service";
    return job;
}

} // namespace

void run_locality_bench(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const boot_time start = boot_time(milliseconds(100000));
    vm_table vms = make_vms(random, start);
    std::vector<std::vector<vm_state*>> racks(rack_count);
    for (std::size_t i = 0; i < vm_count; ++i) {
        racks[i % rack_count].push_back(&vms.at("vm-" + std::to_string(i)));
    }
    job_entry job = make_job();
    separating_placer placer;
    locality_settings settings;
    settings.remote_factor = 2.0;
    locality_wait waits(settings);
    const run_time_history history;
    std::vector<double> samples;
    for (int pass = 0; pass < passes; ++pass) {
        const boot_time now = start + pass * milliseconds(4);
        waits.begin_pass(now);
        std::vector<std::unique_ptr<rack_forecast>> forecasts(rack_count);
        for (std::size_t i = 0; i < waiting_count; ++i) {
            const task_ref task{"waiting-" + std::to_string(i / 10), 0, 0,
                                static_cast<std::uint32_t>(i % 10)};
            const std::size_t rack = i % rack_count;
            job.spec.steps[0].preferred_rack = "rack-" + std::to_string(rack);
            placement_request request;
            request.job = &job;
            request.step = &job.spec.steps[0];
            request.task = task;
            request.candidates = &racks[rack];
            const auto begin = std::chrono::steady_clock::now();
            // The rack is full, so the choice considers each of its VMs; once in a pass, as in
            // the scheduler.
            if (!forecasts[rack] && placer.choose(request, vms, {}, now) != nullptr) {
                throw std::logic_error("a full rack has room");
            }
            if (!forecasts[rack]) {
                forecasts[rack] =
                    std::make_unique<rack_forecast>(racks[rack], need_of_one_core(), now);
            }
            wait_case known;
            known.rack = job.spec.steps[0].preferred_rack;
            known.need = need_of_one_core().reserved;
            known.run_time = milliseconds(650);
            known.remote_factor = history.remote_factor("image", settings.remote_factor);
            known.due_in = milliseconds(1225);
            if (const std::optional<boot_time> next = forecasts[rack]->next()) {
                known.near_free_in = std::chrono::duration_cast<milliseconds>(*next - now);
            }
            if (waits.decide(task, known, now) != wait_verdict::start) {
                forecasts[rack]->take(known.run_time);
            }
            samples.push_back(
                std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
                    .count());
        }
    }
    print({"locality_decision_mean", "expected_end", mean(samples), "us", std::nullopt});
    print({"locality_decision_p99", "expected_end", quantile(samples, 0.99), "us", bound_us});
    print({"locality_decision_max", "expected_end", quantile(samples, 1.0), "us", std::nullopt});
}

} // namespace egretstile::bench
