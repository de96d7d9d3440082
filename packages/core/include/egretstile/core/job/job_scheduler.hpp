#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/decision.hpp>
#include <egretstile/core/job/job_explanation.hpp>
#include <egretstile/core/job/job_table.hpp>
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
#include <utility>
#include <vector>

namespace egretstile {

struct scheduler_settings {
    /// How long tasks may run on without a word of the leader. Above the usual outages of a link or
    /// of a leader, and below the longest lease of a runner (10 s).
    milliseconds permission_term{8000};
    /// How long a job's final state is kept for callers that ask for it.
    milliseconds final_retention{120000};
    /// How much slower or faster than the leader's clock a runner's may be.
    double clock_drift{0.02};
    /// Allowance for the delay between the end of a lease and the end of its tasks.
    milliseconds lapse_margin{500};
    /// A VM that has not reported for this long and holds nothing is forgotten.
    milliseconds forget_after{2000};
    /// The same for one whose agent has said that its runner is gone: it does not start what is
    /// still on its way. Covers a runner that is only silent for a moment.
    milliseconds forget_gone_after{1000};
    /// Pause before a task is started again after a failure or a refusal.
    milliseconds retry_pause{100};
    /// An unanswered stop is ordered again after this.
    milliseconds stop_repeat{1000};
    /// Failed runs in a row after which a VM is avoided, and for how long.
    std::uint32_t failures_to_avoid{3};
    milliseconds avoidance{6000};
    /// A task without progress for this long, and for this share of its estimate, is moved when
    /// another VM has room; one percent of the longest usual task (8 s) takes less at a tenth of
    /// its speed.
    milliseconds stall_limit{1500};
    double stall_share{0.05};
    /// A move costs the way of a stop and the restoring of a checkpoint; no more at a time than
    /// this.
    std::size_t moves_at_a_time{8};
    /// Checkpoints of running tasks are stored this often. When all VMs lose their power at once,
    /// no more than this and a report's interval of work is lost; each storing takes a call for 15
    /// jobs.
    milliseconds checkpoint_interval{1000};
    /// Moves are considered this often; progress is reported every half a second.
    milliseconds move_interval{100};
};

/// The leader's part: decides which task runs where. Makes orders for agents and progress to store;
/// sends and stores nothing itself. Not thread-safe; `now` must not go back.
class job_scheduler {
public:
    using observer = std::function<void(const decision&)>;

    job_scheduler(const scheduler_settings& settings, epoch_number epoch,
                  std::unique_ptr<task_placer> placer, observer observe);

    epoch_number epoch() const { return epoch_; }

    /// Configuration in force; applies to the next decision.
    void set_config(const operator_config& config);
    void set_closed_domains(std::set<failure_domain_name> domains);

    /// An accepted job; known ones are ignored.
    void add_job(const job_spec& job);
    /// Stored progress of an added job. Call before the first report is taken.
    void restore_progress(const job_id& id, const job_progress& progress, boot_time now);
    /// The job's cancellation is stored.
    void cancel_job(const job_id& id);

    bool knows(const job_id& id) const { return jobs_.find(id) != nullptr; }

    /// A VM that an earlier leader may have used. Until it reports, or until `silent_until`, jobs
    /// of earlier epochs are not started, because their tasks may run there.
    void expect_vm(const vm_name& name, boot_time silent_until);

    /// A VM that may be used from now on.
    void register_vm(const vm_name& name) { vms_[name].name = name; }

    /// VMs on which certainly nothing runs and that have not reported for a while, or whose runner
    /// is gone. A later leader need not wait for them, so their registration can be removed.
    std::vector<vm_name> idle_vms(boot_time now) const;

    /// The VM's registration was removed. Precondition: no report was taken in since `idle_vms`.
    void forget_vm(const vm_name& name) { vms_.erase(name); }

    bool is_registered(const vm_name& name) const { return vms_.count(name) != 0; }

    /// The store has confirmed that this leader was still the only one at `time`.
    void confirm_leadership(boot_time time) { confirmed_at_ = time; }

    /// Takes a report in. Precondition: the VM is registered in the store. Returns true when the
    /// runner's lists were used.
    bool take_report(const vm_report& report, boot_time now);
    /// A connection to the VM's agent was opened: orders are numbered anew.
    void agent_connected(const vm_name& name);

    /// Starts what can start and gives up what has lapsed. `wall_ms` is the time of day.
    void schedule(boot_time now, std::int64_t wall_ms);
    /// Orders for the VM: acknowledgements, and starts and stops that were not given out yet.
    vm_orders take_orders(const vm_name& name, std::uint64_t answered_report);
    /// VMs with starts or stops that were not given out yet.
    std::vector<vm_name> vms_with_orders() const;

    /// Progress that has to be stored.
    std::vector<job_entry*> changed_jobs(std::size_t limit) const { return jobs_.changed(limit); }

    void mark_stored(const job_id& id, std::uint64_t version, boot_time now);
    /// Jobs that need not be kept any longer; they are forgotten.
    std::vector<job_id> take_expired(boot_time now, std::size_t limit);

    /// State to show to a caller: a final state only once it is stored.
    std::optional<job_state> visible_state(const job_id& id) const;

    std::size_t pending(const std::string& queue) const { return jobs_.pending(queue); }

    /// Where the job stands and what its steps wait for; nothing when it is not known.
    std::optional<job_explanation> explain(const job_id& id, boot_time now,
                                           std::int64_t wall_ms) const;

    std::size_t job_count() const { return jobs_.size(); }

    const vm_table& vms() const { return vms_; }

    const job_table& jobs() const { return jobs_; }

    /// Whether an expected VM is still silent. Tasks of earlier epochs that this leader has not
    /// seen under way wait until then.
    bool is_recovering() const { return !expected_.empty(); }

private:
    struct outbox {
        std::vector<start_order> starts;
        std::vector<task_attempt> stops;
        std::vector<start_order> attributes;
    };

    /// Where a task of a gang starts.
    struct gang_member {
        vm_state* vm{nullptr};
        task_ref task;
    };

    step_explanation explain_step(const job_entry& job, std::uint32_t occurrence,
                                  std::uint32_t step, boot_time now, std::int64_t wall_ms) const;
    /// Why the task, which has no run, does not start.
    step_wait wait_of(const job_entry& job, const task_ref& next, boot_time now,
                      std::int64_t wall_ms) const;
    void take_ends(vm_state& vm, const vm_report& report, boot_time now);
    void take_end(vm_state& vm, const ended_run& end, boot_time now);
    void take_failure(vm_state& vm, job_entry& job, const ended_run& end, boot_time now);
    void take_active(vm_state& vm, const vm_report& report, boot_time now);
    void take_active_run(vm_state& vm, const active_run& active, boot_time now);
    void take_rejected(vm_state& vm, const vm_report& report, boot_time now);
    void find_missing(vm_state& vm, const vm_report& report, boot_time now);
    void lose_runs(vm_state& vm, boot_time now, const char* reason);
    /// The run is over without an end that counts; the task waits again.
    void release_run(vm_state& vm, const task_attempt& run, boot_time retry_at, boot_time now);
    void forget_run(vm_state& vm, const task_attempt& run);
    void wait_again(job_entry& job, const task_ref& task);
    void order_stop(vm_state& vm, const task_attempt& run, boot_time now);
    void stop_other_runs(const task_ref& task, boot_time now);
    void stop_all_runs(job_entry& job, boot_time now);
    void finish_gang(job_entry& job, const task_ref& task);
    void check_completed(job_entry& job);
    void give_up_silent(boot_time now);
    void move_from_draining(boot_time now);
    /// Starts tasks elsewhere that stand still.
    void move_standing(boot_time now);
    bool is_standing(const step_spec& step, const tracked_run& run, boot_time now) const;
    /// Stops the task's only run so that it starts again, or starts a copy beside it. False when no
    /// other VM can take the task.
    bool move_task(job_entry& job, const task_ref& task, boot_time now);
    /// A VM other than the run's own that may take the task now; null when there is none.
    vm_state* better_vm(const job_entry& job, const task_ref& task, const vm_name& present,
                        boot_time now);
    /// Has new checkpoints of running tasks stored.
    void note_checkpoints();
    void start_waiting(boot_time now, std::int64_t wall_ms);
    void start_step(job_entry& job, std::uint32_t occurrence, std::uint32_t step, boot_time now);
    /// Whether a silent VM may still have a run of the task that an earlier leader started.
    bool may_run_unseen(const job_entry& job, const job_task& task) const;
    /// Whether no VM had room for an equal task in this pass.
    bool is_hopeless(const job_entry& job, const step_spec& step) const;
    /// Logs, once for each step, that a task of it waits for room.
    void note_waiting(job_entry& job, std::uint32_t occurrence, std::uint32_t step, boot_time now);
    void start_gang(job_entry& job, std::uint32_t occurrence, std::uint32_t step, boot_time now);
    /// Reserves room for all members, on one rack if that is faster and possible. Empty, and
    /// nothing reserved, when there is no room for all.
    std::vector<gang_member> place_gang(const job_entry& job, const task_ref& first,
                                        attempt_number attempt, boot_time now);
    /// The same on one rack; an empty name stands for all VMs.
    std::vector<gang_member> place_gang_on(const job_entry& job, const task_ref& first,
                                           attempt_number attempt, const std::string& rack,
                                           boot_time now);
    /// Racks of the job's service, that with the most free processor time first.
    std::vector<std::string> racks_by_room(const job_entry& job) const;
    /// Stops the other members of a gang's run, which cannot work without this one.
    void stop_rest_of_gang(const job_entry& job, const task_attempt& missing, boot_time now);
    bool start_task(job_entry& job, const task_ref& task, boot_time now);
    void order_start(job_entry& job, const task_ref& task, attempt_number attempt, vm_state& vm,
                     boot_time now);
    attempt_number next_attempt(const job_entry& job, const task_progress& progress) const;
    void advance_acknowledged(vm_state& vm);
    tracked_run* find_run(const task_attempt& run);
    /// Learns from the latencies of a report and brings the VM's headroom up to date.
    void observe_pressure(vm_state& vm, const vm_report& report, boot_time now);
    void update_taken_headroom(vm_state& vm) const;
    std::vector<image_pressure> unsent_pressures(const vm_state& vm);
    /// Whether less than half of the processor time of the service's open VMs is reserved.
    bool is_half_idle(const std::string& service) const;
    start_order attributes_of(const job_entry& job, const task_attempt& run) const;
    void note(decision_kind kind, const std::string& fields) const;

    scheduler_settings settings_;
    epoch_number epoch_;
    std::unique_ptr<task_placer> placer_;
    observer observe_;
    operator_config config_;
    std::set<failure_domain_name> closed_domains_;
    job_table jobs_;
    vm_table vms_;
    /// VMs of earlier leaders that have not reported yet, and until when they may run tasks.
    std::map<vm_name, boot_time> expected_;
    std::map<vm_name, outbox> outboxes_;
    boot_time confirmed_at_{};
    /// Tasks that fill for which no VM had room in the present pass, by service and image: the
    /// smallest need.
    std::map<std::pair<std::string, std::string>, resources> hopeless_;
    std::map<std::string, bool> half_idle_;
    boot_time moves_considered_at_{};
    boot_time checkpoints_noted_at_{};
    pressure_model pressures_;
    /// Slopes that each VM's agent was sent on its connection.
    std::map<vm_name, std::map<std::pair<std::string, std::string>, double>> slopes_sent_;
};

} // namespace egretstile
