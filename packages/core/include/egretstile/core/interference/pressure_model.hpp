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

/// State of a run that interference control uses. A run with a target latency is a serving task,
/// one with `fills_idle_cpu` a filling task.
struct guarded_run {
    task_attempt run;
    /// Whether the task reserves no processor time and uses what others leave idle.
    bool fills_idle_cpu{false};
    /// Zero: the task serves no requests.
    std::uint32_t target_latency_ms{0};
    /// Latency of a serving task in milliseconds. Zero: not known yet.
    std::uint32_t latency_ms{0};
    /// Reserved processor time; for a filling task the amount that it would use at full speed.
    std::int64_t cpu_millicores{0};
    /// Processor time that a filling task used recently.
    std::int64_t used_millicores{0};
    std::string image;
    /// Whether a serving task has started up completely.
    bool warm{true};
};

/// Estimate of how much headroom tasks of a serving image lose when tasks of a filling image use
/// the whole VM. Headroom is target latency / latency: 1 at the target, larger at lower latencies.
/// The latency of a serving task is inversely proportional to its idle share, so its headroom falls
/// linearly with the processor time that others take.
struct image_pressure {
    std::string serving_image;
    std::string filling_image;
    /// Headroom lost per whole VM.
    double slope{0};
    /// Variance of the error of `slope`.
    double variance{0};
};

struct pressure_model_settings {
    /// Slope of a pair of images without samples, and its variance. With this slope an unknown
    /// image may use about a third of a VM that has an idle serving task.
    double prior_slope{10.0};
    double prior_variance{64.0};
    /// Lower bound of a slope's variance: this variance plus the square of this share of the slope.
    /// It keeps the model adaptive, because the slopes change within seconds.
    double min_variance{0.1};
    double min_relative_error{0.25};
    double max_slope{60.0};
    /// Standard error of a reported headroom.
    double headroom_error{0.3};
    /// Standard error of a reported latency by rounding to whole milliseconds.
    double latency_rounding_ms{0.3};
    /// Standard error per second of a headroom by changes of the task's own load, which changes by
    /// one half within 5 s.
    double headroom_drift{0.5};
    /// Larger differences between observed and expected changes of headroom count as this.
    double max_residual{3.0};
    /// Weight of a new sample in the smoothed usage. It is smoothed because latencies lag behind
    /// the usage by a second.
    double usage_weight{0.5};
    /// Weight of a new sample in a task's headroom without filling tasks.
    double own_headroom_weight{0.5};
    /// Minimum time between two samples of a VM, because latencies are averaged over half a second,
    /// and maximum time between two samples whose difference is used, because the load may have
    /// changed for other reasons over a longer time.
    milliseconds sample_interval{400};
    milliseconds max_sample_gap{1500};
    /// Samples of a task are not used for this long after it has started up, because its latencies
    /// cover only a part of its users until then.
    milliseconds warm_up{1000};
    /// Time after an overload in which samples are not used, because the latency is caused by the
    /// backlog that drains. Ends early when the headroom reaches `drained_headroom`.
    milliseconds backlog_drain_time{2000};
    double drained_headroom{1.5};
    /// Utilization of a VM above which latencies rise for lack of processor time, independent of
    /// the images. Samples above it are not used.
    double saturated_share{0.95};
    /// Headroom of a serving task without users: on the runners its latency is about 1/6 of the
    /// target, and inversely proportional to the idle share.
    double idle_headroom{6.0};
};

/// Learns from the latencies of serving tasks how much each filling image slows down each serving
/// image, and which headroom each serving task has without filling tasks (its own headroom). Slopes
/// are learned from differences between consecutive samples: the usage of filling tasks changes a
/// headroom faster than the task's own users do. Not thread-safe. `now` must not decrease between
/// calls.
class pressure_model {
public:
    explicit pressure_model(const pressure_model_settings& settings = {});

    /// Updates the model with the state of all runs of a VM. `capacity` is the VM's, in millicores.
    /// Calls within `sample_interval` of the VM's last sample are ignored.
    void observe(const std::string& vm, const std::vector<guarded_run>& runs, std::int64_t capacity,
                 boot_time now);

    /// Headroom that tasks of the serving image lose when the filling image uses the whole VM. The
    /// prior slope for a pair of images without samples.
    double slope(const std::string& serving_image, const std::string& filling_image) const;

    /// Estimate for a pair of images, or `std::nullopt` before tasks of both were first observed on
    /// the same VM.
    std::optional<image_pressure> known(const std::string& serving_image,
                                        const std::string& filling_image) const;

    /// Headroom of the serving task without filling tasks, or `fallback` when it is not known.
    double own_headroom(const task_attempt& run, double fallback) const;

    /// Whether `own_headroom` of the serving task is known.
    bool knows_own_headroom(const task_attempt& run) const;

    /// Headroom of the serving task in its last report with a latency. Zero when it is not known.
    double last_headroom(const task_attempt& run) const;

    /// Processor time in millicores that the serving tasks use for their own users, estimated from
    /// their own headroom.
    double serving_used_millicores(const std::vector<guarded_run>& runs) const;

    /// Takes over an estimate of another instance, unless its variance is larger than that of the
    /// present estimate.
    void merge_pressure(const image_pressure& learned);

    /// Estimates that are more certain than the prior.
    std::vector<image_pressure> pressures() const;

private:
    struct estimate {
        double mean{0};
        double variance{0};
    };

    using image_pair = std::pair<std::string, std::string>;

    struct serving_task {
        /// Headroom without filling tasks; `std::nullopt` before the first sample.
        std::optional<double> own_headroom;
        /// Headroom in the last report with a latency.
        double last_headroom{0};
        /// Default value: not started up.
        boot_time warm_since{};
        /// Default value: not overloaded, and no backlog.
        boot_time overloaded_at{};
        /// Time, headroom and usage by image of the last sample that the next one is compared with.
        /// Default time: there is no such sample.
        boot_time sampled_at{};
        double sampled_headroom{0};
        std::map<std::string, double> sampled_usage;
    };

    void observe_task(serving_task& task, const guarded_run& run,
                      const std::map<std::string, double>& usage, bool saturated, boot_time now);
    void learn_slopes(const serving_task& task, const guarded_run& run,
                      const std::map<std::string, double>& usage, boot_time now);
    estimate& estimate_for(const std::string& serving_image, const std::string& filling_image);
    double measurement_variance(const guarded_run& run, double headroom) const;
    double variance_floor(double slope) const;

    pressure_model_settings settings_;
    std::map<image_pair, estimate> slopes_;
    std::map<std::string, std::map<task_attempt, serving_task>> vms_;
    /// Index of the tasks in `vms_`.
    std::map<task_attempt, const serving_task*> tasks_;

    struct vm_usage {
        boot_time observed_at{};
        /// Smoothed share of the VM that each filling image uses.
        std::map<std::string, double> smoothed;
    };

    std::map<std::string, vm_usage> usages_;
};

} // namespace egretstile
