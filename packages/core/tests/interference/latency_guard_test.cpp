#include <egretstile/core/interference/latency_guard.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <vector>

namespace egretstile {
namespace {

constexpr std::int64_t capacity = 64000;
constexpr std::uint32_t target_ms = 150;
/// Longest time that a latency may be over its target because of filling tasks.
constexpr milliseconds max_over_target{4000};

guarded_run filling_run(std::uint32_t index, std::int64_t millicores, const std::string& image) {
    guarded_run run;
    run.run = {{"filling", 0, 0, index}, 1};
    run.fills_idle_cpu = true;
    run.cpu_millicores = millicores;
    run.image = image;
    return run;
}

/// A VM with one serving task, whose latency follows the usage of the filling tasks with a delay of
/// about a second.
class loaded_vm {
public:
    explicit loaded_vm(std::map<std::string, double> pressures)
        : pressures_(std::move(pressures)) {
        guarded_run serving;
        serving.run = {{"serving", 0, 0, 0}, 1};
        serving.target_latency_ms = target_ms;
        serving.latency_ms = 60;
        serving.cpu_millicores = 13000;
        serving.image = "server";
        runs_.push_back(serving);
    }

    void add_filling(const std::string& image, std::int64_t millicores) {
        const std::uint32_t index = static_cast<std::uint32_t>(runs_.size());
        runs_.push_back(filling_run(index, millicores, image));
        percents_[runs_.back().run] = 100;
    }

    /// Simulates `span` and returns the longest time that the latency was over its target without a
    /// break.
    milliseconds run(milliseconds span) {
        constexpr milliseconds step{100};
        milliseconds over{0};
        milliseconds longest{0};
        for (milliseconds passed{0}; passed < span; passed += step) {
            now_ += step;
            // Covers half of the distance to the settled latency in 0.4 s, as latencies reported by
            // runners do.
            latency_ += (settled_latency() - latency_) * 0.16;
            runs_.front().latency_ms = static_cast<std::uint32_t>(latency_);
            for (guarded_run& run : runs_) {
                if (run.fills_idle_cpu) {
                    run.used_millicores = run.cpu_millicores * percents_.at(run.run) / 100;
                }
            }
            guard_.observe(runs_, capacity, now_);
            for (const speed_change& change : guard_.update(runs_, capacity, now_)) {
                percents_[change.run] = change.percent;
            }
            over = latency_ > target_ms ? over + step : milliseconds(0);
            longest = std::max(longest, over);
        }
        return longest;
    }

    std::uint32_t percent_of(const std::string& image) const {
        for (const guarded_run& run : runs_) {
            if (run.image == image) {
                return percents_.at(run.run);
            }
        }
        return 0;
    }

    double undisturbed_ms{60};

private:
    double settled_latency() const {
        double relative_rise = 0;
        for (const guarded_run& run : runs_) {
            if (run.fills_idle_cpu) {
                relative_rise += pressures_.at(run.image) *
                                 static_cast<double>(run.cpu_millicores) * percents_.at(run.run) /
                                 100 / capacity;
            }
        }
        return undisturbed_ms * (1 + relative_rise);
    }

    std::map<std::string, double> pressures_;
    latency_guard guard_;
    std::vector<guarded_run> runs_;
    std::map<task_attempt, std::uint32_t> percents_;
    boot_time now_{std::chrono::seconds(1)};
    double latency_{60};
};

// Guards against a burst in which two tasks of a heavy image raise a latency to eight times its
// target and are not stopped for four seconds.
TEST_CASE("a heavy image is stopped before a latency has been over its target for 4 s") {
    loaded_vm vm({{"heavy", 70.0}});
    vm.run(milliseconds(3000));
    vm.add_filling("heavy", 5800);
    vm.add_filling("heavy", 5800);
    CHECK(vm.run(milliseconds(30000)) < max_over_target);
}

// Guards against slowing down tasks of a light image because of the loss of headroom that tasks of
// a heavy image on the same VM cause.
TEST_CASE("a light image keeps its speed beside a heavy one") {
    loaded_vm vm({{"heavy", 70.0}, {"light", 1.0}});
    vm.add_filling("heavy", 6000);
    vm.add_filling("light", 6000);
    CHECK(vm.run(milliseconds(40000)) < max_over_target);
    CHECK(vm.percent_of("light") >= 60);
    CHECK(vm.percent_of("heavy") <= 30);
}

// Guards against filling tasks that stay stopped because of a serving task that its own users
// overload: stopping them does not lower its latency.
TEST_CASE("a task that is overloaded by its own users does not stop filling tasks permanently") {
    loaded_vm vm({{"light", 0.5}});
    vm.undisturbed_ms = 400;
    vm.add_filling("light", 6000);
    std::uint32_t best = 0;
    for (int second = 0; second < 20; ++second) {
        vm.run(milliseconds(1000));
        best = std::max(best, vm.percent_of("light"));
    }
    CHECK(best > 0);
}

// Guards against slowing down tasks on a VM without serving tasks, where no latency needs
// protection.
TEST_CASE("without serving tasks nothing is slowed down") {
    latency_guard guard;
    const std::vector<guarded_run> runs{filling_run(0, 60000, "heavy")};
    CHECK(guard.update(runs, capacity, boot_time(std::chrono::seconds(1))).empty());
}

/// A guard with a serving task that leaves no headroom, or is gone, and one filling task.
class slowed_task {
public:
    /// Updates after `pause`; returns the speed that is commanded for the filling task.
    std::optional<std::uint32_t> update(milliseconds pause) {
        now += pause;
        std::vector<guarded_run> runs{filling_run(0, 6000, "heavy")};
        if (disturbed) {
            guarded_run serving;
            serving.run = {{"serving", 0, 0, 0}, 1};
            serving.target_latency_ms = target_ms;
            serving.latency_ms = 2 * target_ms;
            serving.cpu_millicores = 13000;
            serving.image = "server";
            runs.push_back(serving);
            guard.observe(runs, capacity, now);
        }
        const std::vector<speed_change> changes = guard.update(runs, capacity, now);
        return changes.empty() ? std::nullopt : std::optional(changes.front().percent);
    }

    latency_guard guard;
    const task_attempt run = filling_run(0, 6000, "heavy").run;
    bool disturbed{true};
    boot_time now{std::chrono::seconds(1)};
};

// Guards against a task that stays slow for good because the call that gave it its full speed back
// was not carried out.
TEST_CASE("a failed change back to full speed is returned again") {
    slowed_task task;
    REQUIRE(task.update(milliseconds(500)) < 100u);
    task.disturbed = false;
    REQUIRE(task.update(milliseconds(500)) == 100u);
    CHECK_FALSE(task.update(milliseconds(500)).has_value());
    task.guard.change_failed(task.run);
    CHECK(task.update(milliseconds(500)) == 100u);
    CHECK_FALSE(task.update(milliseconds(500)).has_value());
}

// Pattern: orders without an answer that are carried out seconds later. Guards against a task that
// such an order slows down after it was given its full speed back.
TEST_CASE("the speed is commanded again while an unanswered change may still be carried out") {
    const latency_guard_settings settings;
    slowed_task task;
    REQUIRE(task.update(milliseconds(500)) < 100u);
    task.guard.change_unanswered(task.run, task.now);
    const boot_time possible_until = task.now + settings.late_change_limit;
    boot_time last_commanded = task.now;
    task.disturbed = false;
    REQUIRE(task.update(milliseconds(500)) == 100u);
    while (task.now < possible_until) {
        if (task.update(milliseconds(100)) == 100u) {
            CHECK(task.now - last_commanded >= settings.late_change_repeat);
            last_commanded = task.now;
        }
        CHECK(task.now - last_commanded <= settings.late_change_repeat + milliseconds(100));
    }
    for (int later = 0; later < 50; ++later) {
        CHECK_FALSE(task.update(milliseconds(100)).has_value());
    }
}

} // namespace
} // namespace egretstile
