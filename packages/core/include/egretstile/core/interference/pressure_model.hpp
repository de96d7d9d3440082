#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

/// What the interference control needs to know of a run.
struct guarded_run {
    task_attempt run;
    bool fills_idle_cpu{false};
    /// Zero: the task serves nobody.
    std::uint32_t target_latency_ms{0};
    /// Latency in milliseconds, for a task that serves; zero: not known yet.
    std::uint32_t latency_ms{0};
    /// What it reserves, or would use when it fills.
    std::int64_t cpu_millicores{0};
    /// What a task that fills has used lately.
    std::int64_t used_millicores{0};
    std::string image;
    /// A serving task that has started up completely.
    bool warm{true};
};

/// How much headroom a serving image loses when tasks of a filling image use the whole VM.
/// Headroom is target / latency: 1 at the target, larger below it. A serving task's latency is
/// inverse to its idle share, so headroom falls linearly with what others take.
struct image_pressure {
    std::string serving_image;
    std::string filling_image;
    double slope{0};
    double variance{0};
};

struct pressure_model_settings {
    /// Slope of a pair of which nothing is known, and its variance. Beside an idle serving task,
    /// an unknown image may use about a third of a VM.
    double prior_slope{10.0};
    double prior_variance{64.0};
    /// A slope is never known better than this and this share of itself, because pressures change
    /// within seconds.
    double smallest_variance{0.1};
    double smallest_error_share{0.25};
    double largest_slope{60.0};
    /// Standard error of a reported headroom.
    double headroom_error{0.3};
    /// Error of a reported latency, which is a whole number of milliseconds.
    double rounding_ms{0.3};
    /// Growth of a headroom per second by its own users: their load changes by a half within 5 s.
    double drift{0.5};
    /// A larger difference from the expectation counts as this.
    double largest_surprise{3.0};
    /// Weight of a new sample in the use that a latency reflects: it lags behind by a second.
    double use_weight{0.5};
    /// Weight of a new sample in a task's own headroom.
    double own_weight{0.5};
    /// Latencies cover half a second; samples of one VM are no closer, and samples further apart
    /// say little about what happened between them.
    milliseconds interval{400};
    milliseconds longest_gap{1500};
    /// A task that has just started up reports latencies of a part of its users only.
    milliseconds warm_up{1000};
    /// Time in which the backlog of an overload drains and hides what causes the latency, unless
    /// the headroom is back earlier.
    milliseconds drain{2000};
    double drained_headroom{1.5};
    /// Use of a VM above which latencies rise for want of processor time, whatever the images are.
    double saturated_share{0.95};
    /// Headroom of a serving task without users. Measured on the runners: latencies are about 1/6
    /// of their target then, and inverse to the idle share.
    double idle_headroom{6.0};
};

/// Learns from the latencies of serving tasks how much each image that fills presses on each
/// serving image, and what headroom each serving task has alone. Slopes follow from how a headroom
/// changes when what fills beside it changes, because its own users change it more slowly. Not
/// thread-safe; `now` must not go back.
class pressure_model {
public:
    explicit pressure_model(const pressure_model_settings& settings = {});

    /// Takes the state of one VM in. `capacity` is the VM's, in millicores.
    void observe(const std::string& vm, const std::vector<guarded_run>& runs, std::int64_t capacity,
                 boot_time now);

    /// Headroom that a serving image loses per whole VM that the filling image uses.
    double slope(const std::string& serving_image, const std::string& filling_image) const;

    /// What is known of a pair; nothing before the first observation.
    std::optional<image_pressure> known(const std::string& serving_image,
                                        const std::string& filling_image) const;

    /// Headroom of the serving task without tasks that fill; `fallback` when it is not known.
    double own_headroom(const task_attempt& run, double fallback) const;

    /// Headroom of a serving task that has just been seen; zero when it is not known.
    double seen_headroom(const task_attempt& run) const;

    /// Processor time that serving tasks use for their own users, as their headroom tells.
    double serving_use(const std::vector<guarded_run>& runs) const;

    /// Takes over what another instance has learned, unless more is known already.
    void adopt(const image_pressure& learned);

    std::vector<image_pressure> pressures() const;

private:
    struct estimate {
        double mean{0};
        double variance{0};
    };

    using image_pair = std::pair<std::string, std::string>;

    struct serving_task {
        /// Headroom without tasks that fill; nothing before the first sample.
        std::optional<double> alone;
        double seen{0};
        boot_time warm_since{};
        boot_time overloaded_at{};
        /// The last sample from which differences can be taken.
        boot_time sampled_at{};
        double sampled_headroom{0};
        std::map<std::string, double> sampled_use;
    };

    void observe_task(serving_task& task, const guarded_run& run,
                      const std::map<std::string, double>& use, bool saturated, boot_time now);
    void learn_slopes(const serving_task& task, const guarded_run& run,
                      const std::map<std::string, double>& use, boot_time now);
    estimate& pair_of(const std::string& serving_image, const std::string& filling_image);
    double variance_of(const guarded_run& run, double headroom) const;
    double least_variance(double slope) const;

    pressure_model_settings settings_;
    std::map<image_pair, estimate> slopes_;
    std::map<std::string, std::map<task_attempt, serving_task>> vms_;
    std::map<task_attempt, const serving_task*> tasks_;

    struct vm_use {
        boot_time observed_at{};
        std::map<std::string, double> smoothed;
    };

    std::map<std::string, vm_use> uses_;
};

} // namespace egretstile
