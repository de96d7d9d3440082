#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/decision.hpp>
#include <egretstile/core/job/job_explanation.hpp>
#include <egretstile/core/job/job_table.hpp>
#include <egretstile/core/job/locality_wait.hpp>
#include <egretstile/core/job/rack_forecast.hpp>
#include <egretstile/core/job/room_account.hpp>
#include <egretstile/core/job/run_time_history.hpp>
#include <egretstile/core/job/run_time_model.hpp>
#include <egretstile/core/job/scheduler_messages.hpp>
#include <egretstile/core/job/task_placer.hpp>
#include <egretstile/core/job/vm_table.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egretstile {

struct scheduler_settings {
    /// How long tasks may run without a renewed permission from the leader, and after the store has
    /// last confirmed the leader that gave it. Longer than the usual outages of a link or of the
    /// store; short enough for a task whose VM is lost together with the leader to run again within
    /// 9 s.
    milliseconds permission_term{6500};
    /// Another leader may exist when the store has last confirmed this one longer ago.
    milliseconds leader_lease{1500};
    /// Memory that the jobs may take, in bytes.
    std::size_t job_memory_limit{std::size_t{64} * 1024 * 1024};
    /// How long a job in a final state is kept for callers that query it.
    milliseconds final_retention{120000};
    /// Largest relative rate error of a runner's clock against the leader's clock.
    double clock_drift{0.02};
    /// Longest delay between the end of a lease and the end of the tasks that it covered.
    milliseconds lapse_margin{500};
    /// No task is started on a VM that has not reported for this long, because the start may not
    /// arrive either.
    milliseconds report_age_limit{counted_report_age};
    /// A VM without runs that has not reported for this long is removed.
    milliseconds forget_after{2000};
    /// A VM whose agent has reported for this long that its runner is gone is removed. Shorter than
    /// `forget_after`, because such an agent does not carry out starts that are still under way;
    /// not zero, so that a runner that is only briefly silent keeps its VM.
    milliseconds forget_lapsed_after{1000};
    /// Pause before a task is started again after a failed run or a rejected start.
    milliseconds retry_pause{100};
    /// A stop without a result is ordered again after this time.
    milliseconds stop_retry_interval{1000};
    /// A VM is avoided for `avoidance_period` after this many consecutive failed runs.
    std::uint32_t avoid_after_failures{3};
    milliseconds avoidance_period{6000};
    /// A task is stalled after the longer of `stall_limit` and the share `stall_share` of its
    /// estimated run time without progress, and is then moved when another VM has room. The limit
    /// is longer than the longest usual task (8 s) takes for one percent at a tenth of its speed.
    milliseconds stall_limit{1500};
    double stall_share{0.05};
    /// Most moves under way at the same time, because each costs the round trip of a stop and the
    /// restoring of a checkpoint.
    std::size_t max_concurrent_moves{8};
    /// Interval at which checkpoints of running tasks are stored. When all VMs lose power at the
    /// same time, at most this interval and one report interval of work is lost. Each call to the
    /// store writes the progress of 15 jobs.
    milliseconds checkpoint_interval{1000};
    /// Interval between searches for stalled tasks; agents report progress every 500 ms.
    milliseconds move_interval{100};
    /// A failure domain that was taken out of service must get no task after this time, so no task
    /// is started when the closed domains were confirmed longer ago.
    milliseconds closure_age_limit{5000};
    /// While filling tasks that can still be in time wait for room, filling tasks are placed with
    /// the smaller reserve `sharing_model::contended_placement_headroom` and only at the speed
    /// `sharing_model::contended_start_speed`; and jobs are ordered by the run times that filling
    /// tasks have in fact, not by their estimates alone.
    bool place_by_contention{false};
    /// Whether VMs whose runs fail become suspect, instead of being avoided for `avoidance_period`.
    bool track_runner_health{false};
    /// A task with one attempt left whose job is already late waits this long for a proven VM.
    milliseconds late_proof_wait{3000};
    /// Factor by which a task takes longer away from the rack that holds its data; with 1, tasks
    /// never wait for that rack.
    double remote_factor{1.0};
    /// Time that a task needs to resume from a checkpoint.
    milliseconds restore_time{0};
};

/// Decides on the leader which task runs on which VM. Produces orders for agents and progress to be
/// stored; does not send or store anything itself. Not thread-safe. Precondition of all methods:
/// `now` does not decrease between calls.
class job_scheduler {
public:
    using observer = std::function<void(const decision&)>;

    job_scheduler(const scheduler_settings& settings, epoch_number epoch,
                  std::unique_ptr<task_placer> placer, observer observe);

    epoch_number epoch() const { return epoch_; }

    /// Sets the configuration that applies from the next decision on.
    void set_config(const operator_config& config);
    /// Sets the failure domains that are out of service; no task is started in them.
    void set_closed_domains(std::set<failure_domain_name> domains);
    /// Records that `set_closed_domains` has set every domain that was taken out of service before
    /// `time`. No task is started before the first call, and after `closure_age_limit` without one.
    void confirm_closed_domains(boot_time time);

    /// Adds an accepted job. Does nothing when the job is already known.
    void add_job(const job_spec& job);
    /// Restores the stored progress of an added job; does nothing when the job is not known.
    /// Precondition: no report was applied yet.
    void restore_progress(const job_id& id, const job_progress& progress, boot_time now);
    /// Cancels a job and stops its runs. Precondition: the cancellation is stored.
    void cancel_job(const job_id& id);
    /// Ends a job as failed whose progress cannot be stored; `reason` is a word for the log. Does
    /// nothing when the job is not known or is final.
    void fail_job(const job_id& id, const std::string& reason, boot_time now);

    bool has_job(const job_id& id) const { return jobs_.find(id) != nullptr; }

    /// Adds a VM that an earlier leader may have used. Until it reports, or until `silent_until`,
    /// tasks that an earlier leader may have started are not started unless one of their runs was
    /// reported, because they may run on this VM.
    void expect_vm(const vm_name& name, boot_time silent_until);

    /// Adds a VM that tasks may be placed on from now on.
    void register_vm(const vm_name& name) { vms_[name].name = name; }

    /// VMs on which certainly nothing runs and that have not reported for `forget_after`, or whose
    /// runner has been gone for `forget_lapsed_after`. A later leader need not wait for them, so
    /// their registration can be removed from the store.
    std::vector<vm_name> idle_vms(boot_time now) const;

    /// Removes a VM whose registration was removed from the store. Precondition: `idle_vms` listed
    /// the VM and no report of it was applied since.
    void remove_vm(const vm_name& name) {
        vms_.erase(name);
        forget_racks();
        health_.remove_vm(name);
    }

    bool is_registered(const vm_name& name) const { return vms_.count(name) != 0; }

    /// Records that the store has confirmed that this leader was the only one at `time`. No
    /// permission is given before the first call, or lasts longer than `permission_term` after the
    /// latest `time`.
    void confirm_leadership(boot_time time) { leadership_confirmed_at_ = time; }

    boot_time leadership_confirmed_at() const { return leadership_confirmed_at_; }

    /// Applies an agent's report. Returns true when the runner's lists in it were applied.
    /// Precondition: the VM is registered in the store.
    bool apply_report(const vm_report& report, boot_time now);
    /// Resets the state of the connection to the VM's agent after a new one was opened: orders are
    /// numbered from one again and orders that were not sent are dropped. `incarnation` identifies
    /// the agent's process; another one gets a number of its own for the runner's fence.
    void agent_connected(const vm_name& name, incarnation_number incarnation);
    /// No task is started on the VM until its agent reports on a new connection. Does nothing when
    /// the VM is not known.
    void agent_disconnected(const vm_name& name);

    /// Gives up runs on silent VMs, moves runs off draining VMs, moves stalled tasks and starts
    /// waiting tasks. `wall_ms` is the wall-clock time in milliseconds since 1970.
    void schedule(boot_time now, std::int64_t wall_ms);
    /// Removes and returns the pending orders for the VM: acknowledgements, and starts and stops
    /// that were not returned before. `answered_report` is the report that they answer; zero: none.
    vm_orders take_orders(const vm_name& name, std::uint64_t answered_report);
    /// VMs with starts, stops or attributes that `take_orders` has not returned yet.
    std::vector<vm_name> vms_with_orders() const;

    /// Up to `limit` jobs whose progress has to be stored, oldest change first.
    std::vector<job_entry*> changed_jobs(std::size_t limit) const { return jobs_.changed(limit); }

    /// Records that the job's progress was stored as of `version`, which allows ends of its runs to
    /// be acknowledged.
    void mark_stored(const job_id& id, std::uint64_t version, boot_time now);
    /// Removes up to `limit` jobs whose final state has been kept for `final_retention`, and
    /// returns their ids.
    std::vector<job_id> take_expired(boot_time now, std::size_t limit);

    /// State to show to a caller; nothing when the job is not known. `completed` and `failed` are
    /// shown only once they are stored.
    std::optional<job_state> visible_state(const job_id& id) const;

    /// Number of jobs of the queue that have no schedule and of which no task has started.
    std::size_t pending(const std::string& queue) const { return jobs_.pending(queue); }

    /// State of the job and what its steps wait for; nothing when the job is not known. `wall_ms`
    /// is the wall-clock time in milliseconds since 1970.
    std::optional<job_explanation> explain(const job_id& id, boot_time now,
                                           std::int64_t wall_ms) const;

    std::size_t job_count() const { return jobs_.size(); }

    const vm_table& vms() const { return vms_; }

    const job_table& jobs() const { return jobs_; }

    /// Run times of filling tasks compared with their estimates.
    const run_time_model& run_times() const { return run_times_; }

    /// Processor time by service. Reads all VMs, so it is meant for display.
    std::map<std::string, service_room> account_room(boot_time now) const;

    /// Whether a VM of an earlier leader has not reported yet. Until all have, tasks that an
    /// earlier leader may have started wait, unless one of their runs was reported.
    bool is_recovering() const { return !expected_vms_.empty(); }

    /// VMs of earlier leaders that have not reported and may still run tasks.
    std::vector<vm_name> expected_vms() const;

    /// Waits of tasks for the racks that hold their data, since this leader's start.
    const wait_totals& near_wait_totals() const { return locality_.totals(); }

private:
    /// The latest process of a VM's agent.
    struct agent_process {
        incarnation_number incarnation{0};
        /// See `runner_fence::agent`.
        std::uint32_t number{0};
    };

    /// Orders for one VM that were not returned by `take_orders` yet.
    struct outbox {
        std::vector<start_order> starts;
        std::vector<task_attempt> stops;
        std::vector<start_order> attributes;
    };

    /// VMs of a rack that may take tasks of one kind once they have room, and when they will. The
    /// forecast leaves out suspect VMs, which take single trials only.
    struct near_places {
        std::string service;
        std::string label;
        std::string image;
        place_need need;
        std::vector<vm_state*> vms;
        rack_forecast forecast;
        /// No VM had room for the latest task in this pass.
        bool full{false};
        /// Expected speed of a filling task at the best place elsewhere; nothing: not determined in
        /// this pass.
        std::optional<double> speed_elsewhere;
    };

    enum class start_result : std::uint8_t {
        started,
        no_room,
        waits_near ///< The task waits for a place near its data.
    };

    /// Where a task with a preferred rack starts.
    struct near_choice {
        /// VM on which it starts, near its data or elsewhere; null: any.
        vm_state* vm{nullptr};
        /// The task must not start elsewhere now.
        bool waits{false};
    };

    /// A task of a gang and the VM on which it will start.
    struct gang_member {
        vm_state* vm{nullptr};
        task_ref task;
    };

    step_explanation explain_step(const job_entry& job, std::uint32_t occurrence,
                                  std::uint32_t step, boot_time now, std::int64_t wall_ms) const;
    /// Why the task is not started. Precondition: the task has no run.
    step_wait wait_reason_of(const job_entry& job, const task_ref& next, boot_time now,
                             std::int64_t wall_ms) const;
    void apply_ends(vm_state& vm, const vm_report& report, boot_time now);
    void apply_end(vm_state& vm, const ended_run& end, boot_time now);
    /// Learns from the run time of a filling task that is done. Precondition: its run is tracked
    /// until afterwards.
    void observe_run_time(const job_entry& job, const ended_run& end, boot_time now);
    void apply_failure(vm_state& vm, job_entry& job, const ended_run& end, boot_time now);
    void apply_active_runs(vm_state& vm, const vm_report& report, boot_time now);
    /// Tracks a run that the agent reports as active or starting, unless it is tracked. Null when
    /// the run is stopped instead, because its task must not run there.
    tracked_run* adopt_run(vm_state& vm, const task_attempt& run, std::uint32_t percent,
                           boot_time now);
    void apply_active_run(vm_state& vm, const active_run& active, boot_time now);
    void apply_rejected_runs(vm_state& vm, const vm_report& report, boot_time now);
    /// Records that the runner has listed the run, for the first time or again.
    void note_listed(vm_state& vm, const task_attempt& run);
    void stop_missing_runs(vm_state& vm, const vm_report& report, boot_time now);
    /// Gives up the runs on the VM except those in `kept`.
    void give_up_runs(vm_state& vm, const std::vector<task_attempt>& kept, boot_time now,
                      std::string_view reason);
    void adopt_starting_runs(vm_state& vm, const vm_report& report, boot_time now);

    /// When a permission that answers a report of now ends.
    boot_time permission_end(boot_time now) const {
        return latest_time(now, settings_.permission_term);
    }

    /// Until when the runs in a report of now may continue without another report.
    boot_time runs_end(const vm_report& report, boot_time now) const;
    /// Latest time at which an agent has counted `length` from its report of now.
    boot_time latest_time(boot_time now, milliseconds length) const;
    /// Drops a run that will not report an end. Its task waits again and is not started before
    /// `retry_at`.
    void release_run(vm_state& vm, const task_attempt& run, boot_time retry_at, boot_time now);
    /// Removes the run and its reservation without changing the state of its task otherwise.
    void untrack_run(vm_state& vm, const task_attempt& run);
    /// Marks the task as waiting when it is unfinished and has no other run.
    void requeue_task(job_entry& job, const task_ref& task);
    void order_stop(vm_state& vm, const task_attempt& run, boot_time now);
    void stop_runs_of_task(const task_ref& task, boot_time now);
    void stop_all_runs(job_entry& job, boot_time now);
    /// Marks all tasks of the gang as done.
    void finish_gang(job_entry& job, const task_ref& task);
    void check_completed(job_entry& job);
    void give_up_silent_vms(boot_time now);
    void exclude_overdue_vms(boot_time now);
    void move_off_draining_vms(boot_time now);
    /// Moves stalled tasks to other VMs.
    void move_stalled_tasks(boot_time now);
    bool is_stalled(const step_spec& step, const tracked_run& run, boot_time now) const;
    /// Whether the VM may report to a later leader instead of this one.
    bool may_have_left(const vm_name& name, boot_time now) const;
    /// Stops the task's only run so that the task starts again, or starts a copy when the step is
    /// speculative. False when no other VM can take the task.
    bool move_task(job_entry& job, const task_ref& task, boot_time now);
    /// A VM other than `present` that can take the task now; null when there is none.
    vm_state* alternative_vm(const job_entry& job, const task_ref& task, const vm_name& present,
                             boot_time now);
    /// Marks jobs that have started, or have new checkpoints of running tasks, as changed, so that
    /// they are stored.
    void mark_new_progress();
    /// The permission to give in answer to the VM's last report, counted from that report.
    milliseconds permission_for(const vm_state& vm) const;
    /// Until when tasks may be started by the closed domains as they were last confirmed.
    boot_time starts_allowed_until() const;
    /// Whether tasks may be started now; reports a change.
    bool check_starts_allowed(boot_time now);
    void start_waiting_tasks(boot_time now, std::int64_t wall_ms);
    /// Starts tasks of the step. False when a task was not started for lack of room; tasks that
    /// wait for a place near their data, or with one attempt left for a proven VM, are none of
    /// these.
    bool start_step(job_entry& job, std::uint32_t occurrence, std::uint32_t step, boot_time now);
    /// Headroom that a filling task of the service has to leave to serving tasks.
    double placement_headroom(const std::string& service) const;
    /// Whether filling tasks of the service that can still be in time found no room in the last
    /// pass.
    bool is_contended(const std::string& service) const;
    /// Sets the reserve of headroom and the smallest speed for a placement. Precondition: `job` is
    /// set.
    void set_room_terms(placement_request& request) const;
    /// Whether a VM that has not reported may still run the task for an earlier leader.
    bool may_have_unreported_run(const job_entry& job, const job_task& task) const;
    /// Whether placing a task of the same image with no greater need has failed in this pass.
    bool is_unplaceable(const job_entry& job, const step_spec& step) const;
    /// Reports, once for each step, that a task of it waits for room.
    void record_waiting_step(job_entry& job, std::uint32_t occurrence, std::uint32_t step,
                             boot_time now);
    /// Starts the gang. False when it was not started for lack of room.
    bool start_gang(job_entry& job, std::uint32_t occurrence, std::uint32_t step, boot_time now);
    /// Reserves room for all members, on a single rack when the step is rack-local and one rack has
    /// the room. Returns an empty list and reserves nothing when there is no room for all.
    std::vector<gang_member> place_gang(const job_entry& job, const task_ref& first,
                                        attempt_number attempt, boot_time now);
    /// Like `place_gang`, but only on the VMs of `rack`; an empty name stands for all VMs.
    std::vector<gang_member> place_gang_on_rack(const job_entry& job, const task_ref& first,
                                                attempt_number attempt, const std::string& rack,
                                                boot_time now);
    /// Racks with ready runners of the job's service, sorted by free processor time, most first.
    std::vector<std::string> racks_by_free_cpu(const job_entry& job) const;
    /// Stops the remaining members of a gang's run, which cannot work without `missing`.
    void stop_other_gang_members(const job_entry& job, const task_attempt& missing, boot_time now);
    /// Places the task and orders its start, unless it waits for a place near its data.
    start_result start_task(job_entry& job, const task_ref& task, boot_time now);
    /// Time until a task of the step must end for the job to meet its objective; nothing when it
    /// has none.
    std::optional<milliseconds> due_in(const job_entry& job, const step_spec& step) const;
    /// Where the task starts, if it does not wait for its rack. Precondition: the request's step
    /// has a preferred rack, and waiting is enabled.
    near_choice choose_near(placement_request request, boot_time now);
    /// Whether a near VM that is not suspect has room but must prove itself before it takes the
    /// task, which the forecast does not cover.
    bool refused_for_health(const placement_request& request, const near_places& places) const;
    /// The best VM that is not among the near places; null when none can take the task.
    vm_state* choose_elsewhere(placement_request request, const near_places& places, boot_time now);
    /// A VM elsewhere on which a filling task ends sooner than on `near`; null when there is none.
    vm_state* faster_elsewhere(const vm_state& near, const placement_request& request,
                               const near_places& places, boot_time now);
    double speed_elsewhere(const placement_request& request, near_places& places, boot_time now);
    /// Whether the task waits for its rack, which has no room for it, or only room that `ahead`
    /// other tasks need more.
    bool waits_near(const placement_request& request, near_places& places, std::size_t ahead,
                    boot_time now);
    wait_case wait_case_of(const placement_request& request) const;
    near_places& places_of(const job_entry& job, const step_spec& step, const std::string& rack,
                           boot_time now);
    /// Whether a gang that fits on none of the racks waits until one has the room.
    bool gang_waits(const job_entry& job, const task_ref& first,
                    const std::vector<std::string>& racks, boot_time now);
    void record_wait_begin(const task_ref& task, const std::string& rack);
    /// Ends the wait of a task that was started.
    void finish_wait(const task_ref& task, const std::string& rack, wait_end end, boot_time now);
    void record_wait_end(const task_ref& task, const near_wait& wait, std::string_view end,
                         boot_time now);
    /// Begins a pass over the waiting tasks.
    void begin_locality_pass(boot_time now);
    /// Updates when the run is expected to end. Precondition: the run is on the VM.
    void expect_end(vm_state& vm, const task_attempt& run, const step_spec& step,
                    std::uint32_t percent, boot_time now);
    /// Learns from a run that is done.
    void learn_run_time(const vm_state& vm, const job_entry& job, const ended_run& end,
                        boot_time now);
    /// Moves runs back to the rack that holds their data when they end sooner there.
    void move_tasks_near(boot_time now);
    bool move_task_near(const job_entry& job, const task_ref& task, boot_time now);

    /// The VMs of a rack may have changed.
    void forget_racks() {
        racks_.clear();
        near_places_.clear();
    }

    void order_start(job_entry& job, const task_ref& task, attempt_number attempt, vm_state& vm,
                     boot_time now);
    attempt_number next_attempt(const job_entry& job, const task_progress& progress) const;
    /// Acknowledges ends in order up to the first that must not be acknowledged yet.
    void advance_acknowledged(vm_state& vm);
    tracked_run* find_run(const task_attempt& run);
    /// Updates the pressure model and the VM's headroom from the latencies in a report.
    void observe_pressure(vm_state& vm, const vm_report& report, boot_time now);
    void update_consumed_headroom(vm_state& vm) const;
    /// Slopes for the images on the VM that its agent was not sent, or that have changed since.
    std::vector<image_pressure> unsent_pressures(const vm_state& vm);
    /// Whether less than half of the processor time of the service's ready VMs in open failure
    /// domains is reserved.
    bool is_half_idle(const std::string& service) const;
    start_order attributes_of(const job_entry& job, const task_attempt& run) const;
    /// Time that the job has left to meet its objective; negative when it is late.
    milliseconds spare_time(const job_entry& job, std::int64_t wall_ms) const;
    /// Learned run times; null when tasks are expected to take as long as estimated.
    const run_time_model* learned_run_times() const;
    /// Number of further runs of the task that may be started. Precondition: its step is not
    /// long-running.
    std::size_t attempts_left(const job_entry& job, const task_ref& task) const;
    /// Whether the task has one attempt left and the health of VMs is tracked.
    bool is_last_attempt(const job_entry& job, const task_ref& task) const;
    health_demand health_demand_of(const job_entry& job, const task_ref& task, boot_time now) const;
    /// Begins the wait of a task with one attempt left for a proven VM, unless it has begun.
    void begin_proof_wait(job_entry& job, const task_ref& task, boot_time now);
    void note_runner_report(vm_state& vm, const vm_report& report, boot_time now);
    void note_started(vm_state& vm, const task_attempt& run, boot_time now);
    void note_dropped(vm_state& vm, const task_attempt& run, boot_time now);
    void note_ended(vm_state& vm, const ended_run& end, boot_time now);
    /// Updates the health of a VM after its report was applied.
    void judge_health(vm_state& vm, const vm_report& report, boot_time now);
    void apply_health_changes(const std::vector<health_change>& changes);
    std::size_t count_ready_vms(const std::string& service) const;
    void record_decision(decision_kind kind, const std::string& fields) const;

    scheduler_settings settings_;
    epoch_number epoch_;
    std::unique_ptr<task_placer> placer_;
    observer observe_;
    operator_config config_;
    std::set<failure_domain_name> closed_domains_;
    /// Zero until the first confirmation.
    boot_time closed_domains_confirmed_at_{};
    /// Whether starts have been reported as paused.
    bool starts_paused_{false};
    job_table jobs_;
    vm_table vms_;
    /// VMs of earlier leaders that have not reported to this one, and until when they may run
    /// tasks.
    std::map<vm_name, boot_time> expected_vms_;
    std::map<vm_name, outbox> outboxes_;
    /// Kept for VMs that were removed, because they may come back with a runner that has seen a
    /// fence.
    std::map<vm_name, agent_process> agent_processes_;
    boot_time leadership_confirmed_at_{};
    /// Need of the filling task that most recently could not be placed in the present pass, by
    /// service and image.
    std::map<std::pair<std::string, std::string>, resources> unplaceable_;
    /// Results of `is_half_idle` in the present pass, by service.
    std::map<std::string, bool> half_idle_;
    /// Services for which filling tasks that can still be in time found no room in the last pass.
    std::set<std::string> contended_services_;
    boot_time moves_considered_at_{};
    boot_time checkpoints_marked_at_{};
    /// Wall-clock time of the present pass in milliseconds since 1970.
    std::int64_t pass_wall_ms_{0};
    runner_health health_;
    pressure_model pressures_;
    run_time_model run_times_;
    /// Slopes that each VM's agent was sent on its present connection, by serving and filling
    /// image.
    std::map<vm_name, std::map<std::pair<std::string, std::string>, double>> sent_slopes_;
    locality_wait locality_;
    run_time_history run_time_history_;
    /// VMs by rack; empty: to be filled when it is needed.
    std::map<std::string, std::vector<vm_state*>> racks_;
    /// Places by rack, as far as they were needed in the present pass.
    std::map<std::string, std::vector<near_places>> near_places_;
};

} // namespace egretstile
