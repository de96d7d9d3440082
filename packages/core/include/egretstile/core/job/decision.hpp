#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace egretstile {

/// Kinds of decisions and observations of the leader's scheduler about jobs, runs and VMs.
enum class decision_kind : std::uint8_t {
    start_task,
    step_waits,
    move_task,
    run_ended,
    run_missing,
    give_up_run,
    stop_unknown_run,
    second_run,
    job_done,
    job_failed,
    job_cancelled,
    job_unstorable,
    resume_points_left_out,
    avoid_vm,
    vm_overdue,
    limit_starts,
    vm_stays_silent,
    starts_paused,
    starts_resumed,
    suspect_vm,
    trust_vm,
    start_trial,
    wait_begins,
    wait_ends,
    move_near
};

/// Names in metrics.
inline constexpr std::array<enum_name<decision_kind>, 25> decision_kind_names{
    {{decision_kind::start_task, "start_task"},
     {decision_kind::step_waits, "step_waits"},
     {decision_kind::move_task, "move_task"},
     {decision_kind::run_ended, "run_ended"},
     {decision_kind::run_missing, "run_missing"},
     {decision_kind::give_up_run, "give_up_run"},
     {decision_kind::stop_unknown_run, "stop_unknown_run"},
     {decision_kind::second_run, "second_run"},
     {decision_kind::job_done, "job_done"},
     {decision_kind::job_failed, "job_failed"},
     {decision_kind::job_cancelled, "job_cancelled"},
     {decision_kind::job_unstorable, "job_unstorable"},
     {decision_kind::resume_points_left_out, "resume_points_left_out"},
     {decision_kind::avoid_vm, "avoid_vm"},
     {decision_kind::vm_overdue, "vm_overdue"},
     {decision_kind::limit_starts, "limit_starts"},
     {decision_kind::vm_stays_silent, "vm_stays_silent"},
     {decision_kind::starts_paused, "starts_paused"},
     {decision_kind::starts_resumed, "starts_resumed"},
     {decision_kind::suspect_vm, "suspect_vm"},
     {decision_kind::trust_vm, "trust_vm"},
     {decision_kind::start_trial, "start_trial"},
     {decision_kind::wait_begins, "wait_begins"},
     {decision_kind::wait_ends, "wait_ends"},
     {decision_kind::move_near, "move_near"}}};

/// Log messages. The command `egretstile logs` matches the beginnings of some of them.
inline constexpr std::array<enum_name<decision_kind>, 25> decision_messages{
    {{decision_kind::start_task, "Starts a task."},
     {decision_kind::step_waits, "A step waits: no VM has room for its next task."},
     {decision_kind::move_task, "Moves a task that makes no progress."},
     {decision_kind::run_ended, "A run ended."},
     {decision_kind::run_missing, "An agent rejected a run that was assigned to its VM."},
     {decision_kind::give_up_run, "Gave up a run."},
     {decision_kind::stop_unknown_run, "Stops a run of an unknown task."},
     {decision_kind::second_run, "Stops a run that was given up but goes on."},
     {decision_kind::job_done, "A job is done."},
     {decision_kind::job_failed, "A job failed: a task used up its attempts."},
     {decision_kind::job_cancelled, "Cancelled a job."},
     {decision_kind::job_unstorable, "A job failed: its progress cannot be stored."},
     {decision_kind::resume_points_left_out,
      "Stores the progress of a job without some checkpoints: the record would be too large."},
     {decision_kind::avoid_vm, "Avoids a VM after repeated failed runs."},
     {decision_kind::vm_overdue, "Starts no tasks on a VM: its reports are overdue."},
     {decision_kind::limit_starts, "Tries single starts on a VM: its agent rejects them."},
     {decision_kind::vm_stays_silent,
      "Stopped waiting for a VM of an earlier leader that has not reported."},
     {decision_kind::starts_paused,
      "Starts no tasks: failure domains may have been closed without its knowledge."},
     {decision_kind::starts_resumed, "Starts tasks: the closed failure domains are confirmed."},
     {decision_kind::suspect_vm, "Suspects a VM: its runs fail."},
     {decision_kind::trust_vm, "Trusts a VM again."},
     {decision_kind::start_trial, "Starts a trial task on a suspect VM."},
     {decision_kind::wait_begins, "A task waits for a place near its data."},
     {decision_kind::wait_ends, "A task no longer waits for a place near its data."},
     {decision_kind::move_near, "Moves a task to the rack that holds its data."}}};

/// One log line and one increment of the decision counter.
struct decision {
    decision_kind kind{decision_kind::start_task};
    /// `name=value` pairs that follow the message in the log line.
    std::string fields;
};

} // namespace egretstile
