#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretstile {

/// How much processor time of a VM tasks that fill may use beside tasks that serve. Shared with the
/// choice of a VM, so that both expect the same speed.
struct sharing_model {
    /// Share of its reservation that a serving task uses on average.
    double serving_use{0.55};
    /// Utilisation of the whole VM above which latencies rise steeply.
    double shared_utilisation{0.7};
};

/// Millicores that tasks that fill can use on a VM; at least zero. Thread-safe.
double fillable_millicores(const sharing_model& model, std::int64_t capacity, std::int64_t serving,
                           std::int64_t others);

struct latency_guard_settings {
    sharing_model sharing;
    /// Shares of the target. Above the first, all tasks that fill are stopped until the latency is
    /// below the second again; below the third, they speed up.
    double over{1.0};
    double near{0.85};
    double clear{0.7};
    double step_down{0.8};
    double step_up{1.15};
    double smallest_gain{0.05};
    double largest_gain{1.5};
    /// Share of its target that a serving task's latency takes alone, until that has been seen.
    double usual_share{0.4};
    /// Pressure of an image of which nothing is known: beside a serving task it gets about a
    /// quarter of a VM.
    double unknown_pressure{4.0};
    /// Weight of a new observation of a pressure.
    double learning_rate{0.5};
    /// The reported latency covers this span and lags behind by twice as much; steps are no closer.
    milliseconds interval{500};
    /// A task whose latency stays over its target this long while nothing disturbs it is overloaded
    /// by its own users, and is disregarded for a while.
    milliseconds undisturbed{2000};
    milliseconds disregard{2000};
};

/// What the guard needs to know of a run.
struct guarded_run {
    task_attempt run;
    bool fills_idle_cpu{false};
    /// Zero: the task serves nobody.
    std::uint32_t target_latency_ms{0};
    /// Latency in milliseconds, for a task that serves.
    std::uint32_t latency_ms{0};
    /// What it reserves, or would use when it fills.
    std::int64_t cpu_millicores{0};
    std::string image;
};

struct speed_change {
    task_attempt run;
    std::uint32_t percent{100};
};

/// Slows the tasks of a VM that fill its idle processor time down before those that serve users
/// miss their latency target. Learns how much the tasks of each image press on the latency, lets
/// those that press least go first, and stops all of them when a latency is over its target,
/// because latencies lag behind by about a second. Not thread-safe; `now` must not go back.
class latency_guard {
public:
    explicit latency_guard(const latency_guard_settings& settings = {});

    /// Changes to carry out now. `capacity` is the VM's, in millicores.
    std::vector<speed_change> update(const std::vector<guarded_run>& runs, std::int64_t capacity,
                                     boot_time now);

    /// The change was not carried out; the next update repeats it.
    void change_failed(const task_attempt& run) { applied_.erase(run); }

    /// Largest share of its target that a task's latency took at the last update.
    double worst_share() const { return worst_; }

    /// Learned pressure of each image: the relative rise of a latency that tasks of the image cause
    /// when they use the whole VM.
    const std::map<std::string, double>& pressures() const { return pressures_; }

private:
    double worst_share_of(const std::vector<guarded_run>& runs, boot_time now) const;
    void observe(const std::vector<guarded_run>& runs, std::int64_t capacity, boot_time now);
    void learn(const std::map<std::string, double>& use);
    void correct();
    void find_overloaded(const std::vector<guarded_run>& runs, boot_time now);
    std::map<std::string, std::uint32_t> choose_percents(const std::vector<guarded_run>& runs,
                                                         std::int64_t capacity) const;
    std::map<std::string, double> use_of(const std::vector<guarded_run>& runs,
                                         std::int64_t capacity) const;
    double pressure_of(const std::string& image) const;

    latency_guard_settings settings_;
    double gain_{1.0};
    double worst_{0};
    /// Latency share without tasks that fill.
    double alone_;
    bool stopped_{false};
    boot_time observed_at_{};
    /// Since when the tasks that fill have been all but stopped; zero: they are not.
    boot_time quiet_since_{};
    std::map<std::string, double> pressures_;
    /// Use of the VM by each image at the last observation.
    std::map<std::string, double> used_;
    std::map<task_attempt, boot_time> disregarded_until_;
    std::map<task_attempt, std::uint32_t> applied_;
};

} // namespace egretstile
