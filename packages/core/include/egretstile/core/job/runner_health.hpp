#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/runner_types.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {

struct runner_health_settings {
    /// A run that fails within this share of its estimate, plus the delay of reports, failed
    /// quickly, unless a report listed it as active `settle_time` after its start.
    double quick_share{0.25};
    milliseconds report_delay{500};
    /// Longer than a failing runner takes to fail a run (60 ms), with the delay of the start.
    milliseconds settle_time{250};
    /// Points of evidence with which a VM becomes suspect. A quick failure counts two points, any
    /// other failure one. At 5% of chance failures, a lower limit made sound VMs suspect.
    std::uint32_t suspect_points{8};
    /// Most points of one job, so that a single job never makes a VM suspect.
    std::uint32_t max_points_of_job{6};
    /// Failures are evidence for this long.
    milliseconds evidence_age{30000};
    /// A VM is proven for this long after a run of its runner instance ended as done.
    milliseconds proof_age{10000};
    /// Pause before the first trial on a suspect VM; doubled after each failed trial up to the
    /// bound.
    milliseconds first_pause{1000};
    milliseconds longest_pause{16000};
    /// Consecutive successful trials after which a suspect VM is trusted.
    std::uint32_t trials_to_trust{2};
    /// Most runs on an unproven VM, and on a VM whose latest runs failed quickly, that are not
    /// known to have survived their start. Bounds the attempts lost before the first ends are
    /// reported.
    std::uint32_t unproven_starts{4};
    std::uint32_t failing_starts{1};
    /// A suspect VM is trusted when tasks wait but none that may be its trial came for this long.
    milliseconds longest_trial_wait{20000};
    /// Failed runs, without a successful one, with which a VM starts as suspect under a new leader.
    std::uint32_t reported_failures{4};
};

/// What a placement has to know about the health of a VM. Copied into `vm_state` after each change,
/// so that a placement needs no look-up.
struct vm_health {
    bool suspect{false};
    /// A trial runs on the suspect VM.
    bool has_trial{false};
    /// Earliest start of the next trial.
    boot_time trial_at{};
    /// The VM is proven before this time.
    boot_time proven_until{};
    /// Runs that are not known to have survived their start, and their limit while the VM is
    /// unproven or fails runs.
    std::uint32_t open_starts{0};
    std::uint32_t max_open_starts{0};
    /// Runs that failed quickly and that no later run has refuted.
    std::uint32_t quick_failures{0};
    /// A VM that fails its runs but is not suspect, because too many others fail as well, gets no
    /// run before this time.
    boot_time paused_until{};
};

/// What a task requires of the health of its VM.
struct health_demand {
    /// False: the health of VMs is ignored.
    bool enabled{false};
    boot_time now{};
    /// The task may be the trial of a suspect VM.
    bool may_be_trial{false};
    /// Only a proven VM may take the task.
    bool needs_proof{false};
    /// The limits of open starts apply.
    bool limits_open_starts{false};
    /// VMs on which a task with one attempt left has failed, and whether they must not take it.
    std::vector<vm_name> failed_vms;
    bool refuses_failed_vms{false};
};

enum class health_verdict : std::uint8_t { may_start, suspect, unproven };

/// Whether the VM may take a task with this demand. Thread-safe.
health_verdict judge_start(const vm_health& health, const vm_name& vm, const health_demand& demand);

/// A VM that became suspect or trusted.
struct health_change {
    vm_name vm;
    bool suspect{false};
    /// For the log.
    std::string reason;
};

/// Tells VMs whose runner fails its runs from tasks that fail wherever they run. Keeps the latest
/// run ends of each VM. Not thread-safe. Precondition of all methods: `now` does not decrease
/// between calls.
class runner_health {
public:
    explicit runner_health(const runner_health_settings& settings = {});

    /// Applies the runner's instance and the number of its runs that ended as done and as failed
    /// within the last 10 s. A new instance begins without a history, and is trusted; on the first
    /// report about a VM the numbers stand for the missing history.
    std::vector<health_change> note_report(const vm_name& vm, const runner_registration& runner,
                                           std::uint32_t done, std::uint32_t failed, boot_time now);
    /// Records a start; on a suspect VM it is the trial.
    void note_start(const vm_name& vm, const task_attempt& run, boot_time now);
    /// Records that the runner listed the run as active, which shows that the run has survived its
    /// start when that is `settle_time` ago.
    void note_active(const vm_name& vm, const task_attempt& run, boot_time now);
    /// Records an end. `estimate` is that of the step; zero: none. Returns a VM that is trusted
    /// again because of it.
    std::vector<health_change> note_end(const vm_name& vm, const task_attempt& run,
                                        run_outcome outcome, milliseconds estimate, boot_time now);
    /// Records that the run will not report an end; does nothing when it is not known.
    void note_dropped(const vm_name& vm, const task_attempt& run, boot_time now);
    /// Removes the VM's record.
    void remove_vm(const vm_name& vm);

    /// Whether the failures on the VM suffice to make it suspect.
    bool is_failing(const vm_name& vm, boot_time now) const;
    /// Makes a failing VM suspect unless a quarter of the service's `ready_vms` are. When more than
    /// half of them fail, none is singled out: all suspect VMs of the service are trusted.
    std::vector<health_change> judge(const vm_name& vm, std::size_t ready_vms, boot_time now);

    /// Records that a task of the service could not be placed that may not be a trial.
    void note_waiting(const std::string& service, boot_time now) { waiting_at_[service] = now; }

    /// Trusts a suspect VM whose trial is overdue by `longest_trial_wait` while such tasks wait, so
    /// that they do not wait for a trial that nothing can make.
    std::vector<health_change> end_overdue_suspicion(const vm_name& vm, boot_time now);

    /// Whether a run of the service has failed within `proof_age`.
    bool has_recent_failure(const std::string& service, boot_time now) const;

    vm_health health_of(const vm_name& vm) const;

    std::size_t record_count() const { return records_.size(); }

private:
    using step_key = std::pair<job_id, std::uint32_t>;

    struct past_end {
        step_key step;
        boot_time started_at{};
        boot_time ended_at{};
        bool quick{false};
    };

    struct record {
        std::string instance;
        std::string service;
        /// Failed runs that no later run has refuted, at most `max_ends`.
        std::deque<past_end> failures;
        boot_time last_failure{};
        boot_time proven_until{};
        /// Starts that are not known to have survived.
        std::map<task_attempt, boot_time> open;
        /// Starts of all runs whose end is awaited.
        std::map<task_attempt, boot_time> started;
        bool suspect{false};
        /// The reports of an earlier leader's time show that the runner fails its runs.
        bool reported_failing{false};
        bool has_trial{false};
        task_attempt trial;
        boot_time trial_at{};
        milliseconds pause{0};
        std::uint32_t good_trials{0};
    };

    /// Ends of the runs of one step by VM.
    struct step_record {
        std::map<vm_name, std::pair<std::uint32_t, std::uint32_t>> done_and_failed;
        boot_time last_end{};
    };

    void note_step_end(const vm_name& vm, const step_key& step, bool done, boot_time now);
    /// Whether the step fails on VMs that give no other sign of being at fault.
    bool fails_elsewhere(const step_key& step, const vm_name& vm) const;
    /// Whether runs of several jobs failed quickly on the VM.
    bool fails_several_jobs(const record& known) const;
    /// Removes failures that a run started at `started_at` refutes.
    static void refute_failures(record& known, boot_time started_at, bool done);
    void end_trial(record& known, run_outcome outcome, boot_time now) const;
    /// Number of failures on the VM that were quick.
    static std::uint32_t quick_failures(const record& known);
    static void trust(record& known);
    void make_suspect(record& known, boot_time now) const;

    runner_health_settings settings_;
    std::map<vm_name, record> records_;
    std::map<step_key, step_record> steps_;
    /// When a run of the service failed last.
    std::map<std::string, boot_time> last_failures_;
    /// When a task of the service that may not be a trial last could not be placed.
    std::map<std::string, boot_time> waiting_at_;
};

} // namespace egretstile
