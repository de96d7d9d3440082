#include "bench_line.hpp"
#include "benches.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/locality_wait.hpp>
#include <egretstile/core/job/rack_forecast.hpp>
#include <egretstile/core/job/run_time_history.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace egretstile::bench {
namespace {

constexpr std::size_t rack_count = 8;
constexpr std::size_t vms_of_rack = 4;
constexpr std::size_t places_of_vm = 6;
constexpr std::size_t place_count = rack_count * vms_of_rack * places_of_vm;
constexpr milliseconds estimate(650);
/// Standard deviation of the logarithm of the run times; the estimates are off by 20% on average.
constexpr double run_time_sigma = 0.25;
constexpr milliseconds arrival_period(15000);
constexpr milliseconds pass_interval(4);
/// Tasks of a job arrive together and have their data on one rack.
constexpr std::size_t tasks_of_job = 10;
/// A task is in time when it ends within `slack_factor` times its estimate plus `slack`.
constexpr double slack_factor = 1.5;
constexpr milliseconds slack(250);
/// Half of the tasks have their data on a rack.
constexpr double near_share = 0.5;
constexpr std::size_t simulation_count = 3;
constexpr milliseconds delay_limit(300);
/// Passes in which a place elsewhere was free and was not used, after which a task starts there.
constexpr std::size_t skipped_limit = 20;

enum class wait_rule : std::uint8_t { fixed_penalty, fixed_delay, skipped, expected_end };

constexpr std::array<enum_name<wait_rule>, 4> wait_rule_names{
    {{wait_rule::fixed_penalty, "fixed_penalty"},
     {wait_rule::fixed_delay, "fixed_delay"},
     {wait_rule::skipped, "skipped_opportunities"},
     {wait_rule::expected_end, "expected_end"}}};

struct trial_task {
    task_ref id;
    boot_time arrived{};
    /// Number of racks: the task has no data on a rack.
    std::size_t rack{rack_count};
    milliseconds run_time{0};
    std::size_t skipped{0};
};

struct trial_end {
    boot_time at{};
    std::size_t vm{0};
    task_attempt run;

    friend bool operator>(const trial_end& left, const trial_end& right) {
        return left.at > right.at;
    }
};

struct trial_result {
    std::vector<double> completion_ms;
    std::size_t in_time{0};
    std::size_t with_data{0};
    std::size_t near{0};
};

place_need need_of_one_place() {
    place_need need;
    need.reserved.cpu_millicores = 1000;
    return need;
}

/// One run of seeded arrivals with one rule.
class simulation {
public:
    simulation(wait_rule rule, double factor, trial_result& result)
        : rule_(rule)
        , factor_(factor)
        , result_(result)
        , waits_({factor, milliseconds(0)}) {
        for (std::size_t i = 0; i < rack_count * vms_of_rack; ++i) {
            vms_.push_back(std::make_unique<vm_state>());
            vms_.back()->runner.capacity.cpu_millicores = places_of_vm * 1000;
        }
    }

    /// `arrivals` are ordered by time.
    void run(const std::vector<trial_task>& arrivals) {
        auto next = arrivals.begin();
        boot_time now = arrivals.front().arrived;
        while (next != arrivals.end() || !queue_.empty() || !ends_.empty()) {
            for (; !ends_.empty() && ends_.top().at <= now; ends_.pop()) {
                vms_[ends_.top().vm]->remove_run(ends_.top().run);
                ++free_places_;
            }
            for (; next != arrivals.end() && next->arrived <= now; ++next) {
                queue_.push_back(*next);
            }
            pass(now);
            now += pass_interval;
        }
    }

private:
    void pass(boot_time now) {
        waits_.begin_pass(now);
        forecasts_.clear();
        forecasts_.resize(rack_count);
        for (auto task = queue_.begin(); task != queue_.end();) {
            task = try_start(*task, now) ? queue_.erase(task) : std::next(task);
        }
    }

    bool try_start(trial_task& task, boot_time now) {
        if (task.rack < rack_count) {
            const std::size_t first = task.rack * vms_of_rack;
            if (vm_state* const near = emptiest(first, first + vms_of_rack)) {
                start(task, *near, true, now);
                return true;
            }
            if (waits(task, now)) {
                return false;
            }
        }
        // As the placement cost of wanted racks in `separating_placer`.
        const double wanted_cost = rule_ == wait_rule::expected_end ? 0.1 : 0.0;
        if (vm_state* const vm = emptiest(0, vms_.size(), wanted_cost)) {
            start(task, *vm, task.rack == rack_count, now);
            return true;
        }
        if (task.rack < rack_count) {
            waits_.renew_without_alternative(task.id, std::to_string(task.rack), now);
        }
        return false;
    }

    /// The VM with the most free places; null when all are full.
    vm_state* emptiest(std::size_t begin, std::size_t end) const {
        return emptiest(begin, end, 0.0);
    }

    /// `wanted_cost`: places that a VM counts as having less on a rack that tasks wait for, as a
    /// share of its places.
    vm_state* emptiest(std::size_t begin, std::size_t end, double wanted_cost) const {
        vm_state* best = nullptr;
        double best_free = 0;
        for (std::size_t i = begin; free_places_ > 0 && i < end; ++i) {
            if (vms_[i]->free_millicores() < 1000) {
                continue;
            }
            double free = static_cast<double>(vms_[i]->free_millicores());
            if (wanted_cost > 0 &&
                waits_.wanted_racks().count(std::to_string(i / vms_of_rack)) != 0) {
                free -= wanted_cost * static_cast<double>(places_of_vm) * 1000;
            }
            if (best == nullptr || free > best_free) {
                best = vms_[i].get();
                best_free = free;
            }
        }
        return best;
    }

    bool waits(trial_task& task, boot_time now) {
        switch (rule_) {
        case wait_rule::fixed_penalty:
            return false;
        case wait_rule::fixed_delay:
            return now < task.arrived + delay_limit;
        case wait_rule::skipped:
            return emptiest(0, vms_.size()) != nullptr && task.skipped++ < skipped_limit;
        case wait_rule::expected_end:
            return waits_for_end(task, now);
        }
        return false;
    }

    bool waits_for_end(const trial_task& task, boot_time now) {
        std::unique_ptr<rack_forecast>& forecast = forecasts_[task.rack];
        if (!forecast) {
            std::vector<vm_state*> vms;
            for (std::size_t i = 0; i < vms_of_rack; ++i) {
                vms.push_back(vms_[task.rack * vms_of_rack + i].get());
            }
            forecast = std::make_unique<rack_forecast>(vms, need_of_one_place(), now);
        }
        wait_case known;
        known.rack = std::to_string(task.rack);
        known.need = need_of_one_place().reserved;
        known.run_time = expected_run_time();
        known.remote_factor = history_.remote_factor("image", factor_);
        known.due_in = std::chrono::duration_cast<milliseconds>(task.arrived + objective() - now);
        if (const std::optional<boot_time> next = forecast->next()) {
            known.near_free_in =
                std::chrono::duration_cast<milliseconds>(std::max(*next, now) - now);
        }
        if (waits_.decide(task.id, known, now) == wait_verdict::start) {
            return false;
        }
        forecast->take(known.run_time);
        return true;
    }

    void start(const trial_task& task, vm_state& vm, bool near, boot_time now) {
        const double factor = near ? 1.0 : factor_;
        const milliseconds run_time(
            static_cast<std::int64_t>(static_cast<double>(task.run_time.count()) * factor));
        vm_run run;
        run.reserved = need_of_one_place().reserved;
        const double expected_factor = near ? 1.0 : history_.remote_factor("image", factor_);
        const milliseconds expected(static_cast<std::int64_t>(
            static_cast<double>(expected_run_time().count()) * expected_factor));
        run.expected_end = now + expected;
        run.likely_error = milliseconds(static_cast<std::int64_t>(
            static_cast<double>(expected.count()) * history_.near_ratio("image").spread));
        vm.add_run({task.id, 1}, run);
        --free_places_;
        const auto index = static_cast<std::size_t>(std::distance(
            vms_.begin(), std::find_if(vms_.begin(), vms_.end(),
                                       [&](const auto& known) { return known.get() == &vm; })));
        ends_.push({now + run_time, index, {task.id, 1}});
        // The run is recorded at its start, because its end is certain in this model.
        history_.record("image", !near, estimate, run_time);
        if (task.rack < rack_count) {
            waits_.finish(task.id, std::to_string(task.rack),
                          near ? wait_end::near : wait_end::remote, now);
            ++result_.with_data;
            result_.near += near ? 1 : 0;
            const boot_clock::duration completion = now + run_time - task.arrived;
            result_.completion_ms.push_back(
                std::chrono::duration<double, std::milli>(completion).count());
            result_.in_time += completion <= objective() ? 1 : 0;
        }
    }

    milliseconds expected_run_time() const {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) *
                                                      history_.near_ratio("image").mean));
    }

    static milliseconds objective() {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) *
                                                      slack_factor)) +
               slack;
    }

    wait_rule rule_;
    double factor_;
    trial_result& result_;
    locality_wait waits_;
    run_time_history history_;
    std::vector<std::unique_ptr<vm_state>> vms_;
    std::vector<std::unique_ptr<rack_forecast>> forecasts_;
    std::size_t free_places_{place_count};
    std::list<trial_task> queue_;
    std::priority_queue<trial_end, std::vector<trial_end>, std::greater<>> ends_;
};

/// Jobs arrive at random. The racks are drawn with unequal shares: the first has three times the
/// share of the last.
std::vector<trial_task> make_arrivals(std::uint64_t seed, double load) {
    std::mt19937_64 random(seed);
    const double jobs_per_ms = load * static_cast<double>(place_count) /
                               static_cast<double>(estimate.count()) /
                               static_cast<double>(tasks_of_job);
    std::exponential_distribution<double> pause(jobs_per_ms);
    std::lognormal_distribution<double> run_time(-run_time_sigma * run_time_sigma / 2,
                                                 run_time_sigma);
    std::bernoulli_distribution has_data(near_share);
    std::vector<double> shares;
    for (std::size_t rack = 0; rack < rack_count; ++rack) {
        shares.push_back(3.0 -
                         2.0 * static_cast<double>(rack) / static_cast<double>(rack_count - 1));
    }
    std::discrete_distribution<std::size_t> rack_of(shares.begin(), shares.end());
    std::vector<trial_task> arrivals;
    double time_ms = 1000;
    for (int job = 0; time_ms < static_cast<double>(arrival_period.count()); ++job) {
        time_ms += pause(random);
        const std::size_t rack = has_data(random) ? rack_of(random) : rack_count;
        for (std::uint32_t index = 0; index < tasks_of_job; ++index) {
            trial_task task;
            task.id = {"job-" + std::to_string(job), 0, 0, index};
            task.arrived = boot_time(milliseconds(static_cast<std::int64_t>(time_ms)));
            task.rack = rack;
            task.run_time = milliseconds(static_cast<std::int64_t>(
                std::max(1.0, static_cast<double>(estimate.count()) * run_time(random))));
            arrivals.push_back(task);
        }
    }
    return arrivals;
}

} // namespace

void run_locality_trial(std::uint64_t seed) {
    for (const double factor : {1.5, 2.0, 3.0}) {
        for (const double load : {0.5, 0.7, 0.9, 1.0, 1.2}) {
            for (const enum_name<wait_rule>& rule : wait_rule_names) {
                trial_result result;
                for (std::size_t k = 0; k < simulation_count; ++k) {
                    simulation(rule.value, factor, result).run(make_arrivals(seed + k, load));
                }
                const std::string name = "locality_f" + std::to_string(factor).substr(0, 3) + "_l" +
                                         std::to_string(load).substr(0, 3) + "_";
                const std::string strategy(rule.name);
                const double tasks = static_cast<double>(result.with_data);
                print({name + "mean", strategy, mean(result.completion_ms), "ms", std::nullopt});
                print({name + "p99", strategy, quantile(result.completion_ms, 0.99), "ms",
                       std::nullopt});
                print({name + "in_time", strategy, static_cast<double>(result.in_time) / tasks,
                       "share", std::nullopt});
                print({name + "near", strategy, static_cast<double>(result.near) / tasks, "share",
                       std::nullopt});
            }
        }
    }
}

} // namespace egretstile::bench
