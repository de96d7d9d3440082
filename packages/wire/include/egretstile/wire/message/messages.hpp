#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/scheduler_messages.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the processes of a deployment. Times are durations in milliseconds, because
/// boot clocks of different VMs cannot be compared.
namespace egretstile::wire {

enum class peer_role : std::uint8_t { entry, agent };

/// First message in both directions of a connection, before any other.
struct hello {
    peer_role role{peer_role::agent};
    /// Entry id or VM name.
    std::string name;
    /// Agent incarnation; zero for an entry.
    incarnation_number incarnation{0};
};

/// Whether the upstream of a VM takes requests.
enum class upstream_state : std::uint8_t { absent, ready, leaving };

inline constexpr std::array<enum_name<upstream_state>, 3> upstream_state_names{
    {{upstream_state::absent, "absent"},
     {upstream_state::ready, "ready"},
     {upstream_state::leaving, "leaving"}}};

struct upstream_report {
    std::string service;
    upstream_state state{upstream_state::absent};
    std::uint32_t slots{0};
    std::uint32_t slots_in_use{0};
    std::uint32_t connections{0};
    /// Moving average of the upstream's answer time.
    std::uint32_t latency_us{0};
};

/// Usage of one run as the worker last reported it.
struct run_usage {
    task_run run;
    std::string team;
    task_kind kind{task_kind::reconciliation};
    resources need;
    resources used;
};

/// From an agent to each entry every heartbeat interval.
struct heartbeat {
    std::uint64_t sequence{0};
    vm_name vm;
    incarnation_number incarnation{0};
    failure_domain_name failure_domain;
    std::string rack;
    /// False until the agent has read the worker's tasks; `runs` is complete only when true.
    bool worker_known{false};
    std::string worker_boot;
    resources capacity;
    resources reserved;
    revision_number plan_revision{0};
    /// True when the agent admits no new work: drained, leaving or stopping.
    bool draining{false};
    upstream_report upstream;
    std::vector<run_report> runs;
    std::vector<run_usage> usage;
};

/// The sender owns the shard with this epoch and grants the runs of it that the heartbeat listed,
/// except those in `heartbeat_reply::stop`.
struct shard_grant {
    shard_number shard{0};
    epoch_number epoch{0};
};

/// Address of the port on which an entry takes agents and other entries.
struct entry_address {
    entry_id id;
    std::string host;
    std::uint16_t port{0};
};

struct heartbeat_reply {
    std::uint64_t sequence{0};
    entry_id entry;
    revision_number plan_revision{0};
    /// Time since the call that confirmed the revision was sent; counted to when this reply is
    /// made.
    std::uint64_t plan_age_ms{0};
    /// False until the entry has confirmed a plan; then the next two fields mean nothing.
    bool plan_known{false};
    bool domain_in_service{false};
    bool vm_drained{false};
    std::vector<shard_grant> grants;
    /// Reported runs that must not go on: not in the record, or superseded.
    std::vector<task_run> stop;
    /// Reported ended runs whose end is committed; the agent may forget them.
    std::vector<task_run> acknowledged;
    std::vector<entry_address> entries;
};

struct start_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_spec spec;
    attempt_number attempt{0};
    incarnation_number incarnation{0};
    /// Boot of the worker for which the owner made the assignment.
    std::string worker_boot;
    /// Last heartbeat that the owner answered; bounds how late the start is valid.
    std::uint64_t heartbeat_sequence{0};
    std::string checkpoint;
    std::string traceparent;
};

/// Answer to `start_task`; the phase is running, refused or, when the worker's answer was lost,
/// starting. Later changes come with heartbeats.
struct start_reply {
    run_report report;
    refusal reason{refusal::none};
};

/// Checkpoint and stop the run; the end is reported with the heartbeats.
struct evict_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_run run;
    /// False: stop without a checkpoint (a cancellation).
    bool take_checkpoint{true};
};

/// Limits the share of the processor of a run; 100 removes the limit.
struct throttle_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_run run;
    std::uint32_t cpu_percent{100};
};

struct serve_request {
    /// Unique for the sending entry.
    std::uint64_t request_id{0};
    std::string service;
    std::uint64_t deadline_ms{0};
    bool idempotent{true};
    std::string body;
    std::string traceparent;
};

enum class serve_outcome : std::uint8_t { answered, not_run, unknown };

inline constexpr std::array<enum_name<serve_outcome>, 3> serve_outcome_names{
    {{serve_outcome::answered, "answered"},
     {serve_outcome::not_run, "not-run"},
     {serve_outcome::unknown, "unknown"}}};

struct serve_reply {
    std::uint64_t request_id{0};
    serve_outcome outcome{serve_outcome::unknown};
    refusal reason{refusal::none};
    std::uint32_t http_status{0};
    std::string body;
};

/// Asks the agent to drop a request that has not reached the upstream yet.
struct cancel_request {
    std::uint64_t request_id{0};
};

/// Calls about one exclusive task from an entry that does not own its shard to the one that does.
struct forward_submit {
    std::uint64_t call_id{0};
    task_spec spec;
    std::string traceparent;
};

struct forward_query {
    std::uint64_t call_id{0};
    task_key key;
};

struct forward_cancel {
    std::uint64_t call_id{0};
    task_key key;
};

/// Outcome of a call about an exclusive task.
enum class task_call_outcome : std::uint8_t {
    accepted,  ///< Committed; `record` holds the state.
    not_found, ///< The owner knows no such key.
    not_run,   ///< Nothing was committed and nothing will be.
    conflict,  ///< The key exists with another spec; `record` holds it.
    unknown    ///< The commit's fate is not known; ask again with the same key.
};

inline constexpr std::array<enum_name<task_call_outcome>, 5> task_call_outcome_names{
    {{task_call_outcome::accepted, "accepted"},
     {task_call_outcome::not_found, "not-found"},
     {task_call_outcome::not_run, "not-run"},
     {task_call_outcome::conflict, "conflict"},
     {task_call_outcome::unknown, "unknown"}}};

struct forward_reply {
    std::uint64_t call_id{0};
    task_call_outcome outcome{task_call_outcome::unknown};
    std::string reason;
    task_record record;
};

/// From an entry to the leader, which answers with `leader_pong`: shows that the connection works.
struct leader_ping {
    std::uint64_t number{0};
    /// Operators' configuration in force at the entry; zero: none yet.
    std::uint64_t config_version{0};
};

struct leader_pong {
    std::uint64_t number{0};
    epoch_number epoch{0};
    /// False while the leader loads the stored jobs.
    bool serving{false};
};

/// The job is stored. Saves the leader the delay of its watch.
struct job_accepted {
    job_spec job;
};

/// The cancellation of the job is stored.
struct job_cancelled {
    job_id job;
};

/// From an entry that cannot reach the store to the leader: creates the key with this value, unless
/// it exists.
struct create_key {
    std::uint64_t call_id{0};
    std::string key;
    std::string value;
};

enum class create_outcome : std::uint8_t {
    created,
    existed,
    not_created, ///< Nothing was done and nothing will be.
    unknown      ///< It may have been created, or may still be.
};

inline constexpr std::array<enum_name<create_outcome>, 4> create_outcome_names{
    {{create_outcome::created, "created"},
     {create_outcome::existed, "existed"},
     {create_outcome::not_created, "not_created"},
     {create_outcome::unknown, "unknown"}}};

struct create_key_answer {
    std::uint64_t call_id{0};
    create_outcome outcome{create_outcome::unknown};
};

struct job_query {
    std::uint64_t call_id{0};
    job_id job;
};

/// `known` is false also while the leader loads the stored jobs.
struct job_answer {
    std::uint64_t call_id{0};
    bool known{false};
    job_state state{job_state::queued};
};

struct pending_query {
    std::uint64_t call_id{0};
    std::string queue;
};

/// `known` is false while the leader loads the stored jobs.
struct pending_answer {
    std::uint64_t call_id{0};
    bool known{false};
    std::uint64_t count{0};
};

using message =
    std::variant<hello, heartbeat, heartbeat_reply, start_task, start_reply, evict_task,
                 throttle_task, serve_request, serve_reply, cancel_request, forward_submit,
                 forward_query, forward_cancel, forward_reply, vm_report, vm_orders, leader_ping,
                 leader_pong, job_accepted, job_cancelled, job_query, job_answer, pending_query,
                 pending_answer, create_key, create_key_answer>;

} // namespace egretstile::wire
