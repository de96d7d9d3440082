#pragma once

#include <egretstile/core/interference/pressure_model.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretstile {

/// How much processor time of a VM tasks that fill can use beside others. Shared with the choice of
/// a VM, so that both expect the same speed.
struct sharing_model {
    /// Use of a VM that tasks that fill may bring it to; above it, all latencies rise.
    double full_use{0.92};
    /// Headroom that serving tasks must keep: a latency of three quarters of the target. The rest
    /// is for the growth of their own load until the next report.
    double kept_headroom{1.3};
    /// The same when a task is placed: their load may grow while the task runs for some seconds.
    double placing_headroom{2.2};
};

/// Millicores that tasks that fill can use on a VM; at least zero. `serving_use` is what serving
/// tasks use, `others` what the rest has reserved. Thread-safe.
double fillable_millicores(const sharing_model& model, std::int64_t capacity, double serving_use,
                           std::int64_t others);

struct latency_guard_settings {
    sharing_model sharing;
    pressure_model_settings pressure;
    /// A task that has been over its target stops all that fills until its headroom is back at
    /// this, and the images that press on it until its backlog has drained.
    double recovered_headroom{1.15};
    /// Loss of headroom that is too small to matter.
    double negligible_loss{0.1};
    /// Images with a smaller slope are never slowed down below the percentage for the sake of
    /// serving tasks; a whole VM of them takes a fourth of an idle task's headroom.
    double light_slope{1.5};
    std::uint32_t least_light_percent{50};
    /// Headroom of a serving task that has not been seen yet: at a load of about a half.
    double usual_headroom{2.5};
    /// A latency that stays over its target this long stops all tasks that fill, whatever is known
    /// of their images. Well below the 4 s for which serving tasks may be harmed.
    milliseconds longest_over{1200};
    /// A task whose latency stays over its target this long while nothing disturbs it is overloaded
    /// by its own users, and is disregarded for a while.
    milliseconds undisturbed{2000};
    milliseconds disregard{2000};
};

struct speed_change {
    task_attempt run;
    std::uint32_t percent{100};
};

/// Slows the tasks of a VM that fill its idle processor time down before those that serve users
/// miss their latency target. The images that press least on the serving tasks go first. Not
/// thread-safe; `now` must not go back.
class latency_guard {
public:
    explicit latency_guard(const latency_guard_settings& settings = {});

    /// Takes the latencies and uses of a new list in. `capacity` is the VM's, in millicores.
    void observe(const std::vector<guarded_run>& runs, std::int64_t capacity, boot_time now);

    /// Changes to carry out now. `runs` may have tasks that were started after the last list.
    std::vector<speed_change> update(const std::vector<guarded_run>& runs, std::int64_t capacity,
                                     boot_time now);

    /// The change was not carried out; the next update repeats it.
    void change_failed(const task_attempt& run) { applied_.erase(run); }

    /// Smallest headroom of a serving task at the last update; zero without any.
    double least_headroom() const { return least_headroom_; }

    /// Takes over what was learned on other VMs.
    void adopt(const image_pressure& learned) { model_.adopt(learned); }

    std::vector<image_pressure> pressures() const { return model_.pressures(); }

private:
    struct protected_task {
        std::string image;
        /// Headroom that may still be taken.
        double budget{0};
        /// Over its target for too long.
        bool harmed{false};
    };

    std::vector<protected_task> find_protected(const std::vector<guarded_run>& runs,
                                               std::int64_t capacity, boot_time now);
    std::map<std::string, std::uint32_t> choose_percents(const std::vector<guarded_run>& runs,
                                                         std::int64_t capacity,
                                                         std::vector<protected_task> tasks) const;
    /// Loss of headroom of one serving image by what fills now.
    double present_loss(const std::string& serving_image, const std::vector<guarded_run>& runs,
                        std::int64_t capacity) const;

    latency_guard_settings settings_;
    pressure_model model_;
    double least_headroom_{0};
    /// Since when serving tasks have been over their target; until they have recovered.
    std::map<task_attempt, boot_time> over_since_;
    /// Since when a task over its target has not been disturbed.
    std::map<task_attempt, boot_time> undisturbed_since_;
    std::map<task_attempt, boot_time> disregarded_until_;
    std::map<task_attempt, std::uint32_t> applied_;
};

} // namespace egretstile
