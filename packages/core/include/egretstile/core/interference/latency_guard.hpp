#pragma once

#include <egretstile/core/interference/pressure_model.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretstile {

/// Limits of how much processor time of a VM filling tasks can use (`guarded_run::fills_idle_cpu`).
/// Used by the latency guard and by placement, so that both expect the same speed of a task.
struct sharing_model {
    /// Processor utilization up to which filling tasks may use a VM. Above it all latencies rise.
    double max_utilization{0.92};
    /// Headroom that each serving task must keep (see `image_pressure`). At 1.3 the latency is
    /// about three quarters of the target, which leaves a reserve for growth of the task's own load
    /// until the next report.
    double min_headroom{1.3};
    /// Headroom that each serving task must keep when a filling task is placed. It is larger,
    /// because the load may grow during the several seconds for which the filling task runs.
    double min_placement_headroom{2.2};
    /// Replaces `min_placement_headroom` while filling tasks that can still be in time wait for
    /// room. Serving tasks of several images rarely all have the larger headroom at the same time,
    /// and the latency guard enforces `min_headroom` in any case.
    double contended_placement_headroom{1.6};
    /// Smallest expected speed at which a filling task is placed, as a share of its full speed;
    /// below it, the task waits. Jobs at half speed just meet the usual objective of twice their
    /// critical path.
    double min_start_speed{0.6};
    /// Replaces `min_start_speed` while filling tasks that can still be in time wait for room. More
    /// tasks at a lower speed do no more work, and all of their jobs end late; fewer tasks at full
    /// speed end some jobs in time. Slightly below full speed, so that rounding does not matter.
    double contended_start_speed{0.99};
};

/// Millicores that filling tasks can use on a VM; at least zero. `serving_used_millicores` is the
/// usage of the serving tasks, `others` the reservation of the tasks that neither serve nor fill,
/// all in millicores. Thread-safe.
double fillable_millicores(const sharing_model& model, std::int64_t capacity,
                           double serving_used_millicores, std::int64_t others);

struct latency_guard_settings {
    sharing_model sharing;
    pressure_model_settings pressure;
    /// A serving task that has been over its target for `max_time_over_target` stops all filling
    /// tasks until its headroom is back at this value. Until its backlog has drained
    /// (`pressure_model_settings::drained_headroom`), images that slow it down get no headroom of
    /// it.
    double recovered_headroom{1.15};
    /// Losses of headroom up to this are ignored.
    double negligible_loss{0.1};
    /// Images with a smaller slope are light: even when they use the whole VM, they take only a
    /// fourth of an idle task's headroom. They are not slowed down below `min_light_percent` of
    /// their share of the available processor time, except for a serving task that has been over
    /// its target for `max_time_over_target`.
    double light_image_slope{1.5};
    std::uint32_t min_light_percent{50};
    /// Assumed headroom of a serving task without samples: that of a load of about one half.
    double default_headroom{2.5};
    /// When a latency stays over its target this long, all filling tasks are stopped, even if the
    /// model predicts that their images cause little loss. Well below 4 s, the longest time for
    /// which serving tasks may miss their targets because of others.
    milliseconds max_time_over_target{1200};
    /// A serving task whose latency stays over its target this long without filling tasks that slow
    /// it down is overloaded by its own users. It is not protected for `ignore_time`, because
    /// stopping filling tasks would not help it.
    milliseconds overload_detection_time{2000};
    milliseconds ignore_time{2000};
    /// A runner may carry out a change that it has not answered up to this much later.
    milliseconds late_change_limit{12000};
    /// Interval at which the speed of a run with an unanswered change is commanded again.
    milliseconds late_change_repeat{1500};
};

/// Command that limits a run to a percentage of its processor time. 100 percent removes the limit.
struct speed_change {
    task_attempt run;
    std::uint32_t percent{100};
};

/// Slows down the filling tasks of a VM before its serving tasks miss their latency targets. The
/// available headroom is given first to the images that reduce it least. Not thread-safe. `now`
/// must not decrease between calls.
class latency_guard {
public:
    explicit latency_guard(const latency_guard_settings& settings = {});

    /// Updates the model with the latencies and usages of a new list of the VM's runs. `capacity`
    /// is the VM's, in millicores.
    void observe(const std::vector<guarded_run>& runs, std::int64_t capacity, boot_time now);

    /// Returns the speed changes to carry out now. `runs` may contain tasks that were started after
    /// the list of the last `observe`. Assumes that the changes are carried out; see
    /// `change_failed` and `change_unanswered`.
    std::vector<speed_change> update(const std::vector<guarded_run>& runs, std::int64_t capacity,
                                     boot_time now);

    /// Records that a change was not carried out, so that the next `update` returns one for the run
    /// again, whatever the speed is by then.
    void change_failed(const task_attempt& run) { unconfirmed_.insert(run); }

    /// Records that it is not known whether a change was carried out. The runner may also carry it
    /// out seconds later, so the run's speed is commanded repeatedly until that is ruled out.
    void change_unanswered(const task_attempt& run, boot_time now);

    /// Smallest headroom of any serving task at the last `update`. Zero when none is known.
    double least_headroom() const { return least_headroom_; }

    /// Takes over an estimate from other VMs; see `pressure_model::merge_pressure`.
    void merge_pressure(const image_pressure& learned) { model_.merge_pressure(learned); }

    std::vector<image_pressure> pressures() const { return model_.pressures(); }

private:
    struct protected_task {
        std::string image;
        /// Headroom that filling tasks may still take.
        double budget{0};
        /// Over its target for at least `max_time_over_target` and not recovered.
        bool over_target_too_long{false};
    };

    std::vector<protected_task> find_protected_tasks(const std::vector<guarded_run>& runs,
                                                     std::int64_t capacity, boot_time now);
    std::map<std::string, std::uint32_t> choose_percents(const std::vector<guarded_run>& runs,
                                                         std::int64_t capacity,
                                                         std::vector<protected_task> tasks) const;
    /// Whether the run's speed has to be commanded again although it has not changed.
    bool must_repeat(const task_attempt& run, boot_time now);
    /// Headroom that tasks of the serving image lose because of the filling tasks' present usage.
    double current_headroom_loss(const std::string& serving_image,
                                 const std::vector<guarded_run>& runs, std::int64_t capacity) const;

    latency_guard_settings settings_;
    pressure_model model_;
    double least_headroom_{0};
    /// When each serving task exceeded its target. Kept until its backlog has drained.
    std::map<task_attempt, boot_time> over_target_since_;
    /// Since when filling tasks have not slowed down each task that is over its target.
    std::map<task_attempt, boot_time> undisturbed_since_;
    /// Tasks that are overloaded by their own users, and until when they are not protected.
    std::map<task_attempt, boot_time> ignored_until_;
    /// Speed of each filling run in percent, as last commanded.
    std::map<task_attempt, std::uint32_t> applied_percents_;
    /// Runs whose last commanded speed was not carried out.
    std::set<task_attempt> unconfirmed_;

    struct late_change {
        /// Until when an unanswered change may still be carried out.
        boot_time possible_until;
        boot_time repeat_at;
    };

    std::map<task_attempt, late_change> late_changes_;
};

} // namespace egretstile
