#pragma once

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/job/closed_domains.hpp>
#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/operator_config.hpp>
#include <egretstile/core/job/scheduler_messages.hpp>
#include <egretstile/core/task/task.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the processes of a deployment. Times are durations in milliseconds, unless the
/// name of a field gives another unit, because the boot clocks of different VMs cannot be compared.
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

/// Whether the upstream of a VM accepts requests.
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
    /// Moving average of the upstream's response time in microseconds.
    std::uint32_t latency_us{0};
};

/// Resource usage of one run as last reported by the worker.
struct run_usage {
    task_run run;
    std::string team;
    task_kind kind{task_kind::reconciliation};
    resources need;
    resources used;
};

/// Sent by an agent to each entry at every heartbeat interval.
struct heartbeat {
    std::uint64_t sequence{0};
    vm_name vm;
    incarnation_number incarnation{0};
    failure_domain_name failure_domain;
    std::string rack;
    /// False until the agent has read the worker's list of tasks; `runs` is complete only when
    /// true.
    bool worker_known{false};
    std::string worker_boot;
    resources capacity;
    resources reserved;
    revision_number plan_revision{0};
    /// True when the agent admits no new work: it is drained, leaving or stopping, or cannot reach
    /// the worker.
    bool draining{false};
    upstream_report upstream;
    std::vector<run_report> runs;
    std::vector<run_usage> usage;
};

/// The sender owns the shard in this epoch and allows the shard's runs that the heartbeat listed to
/// continue, except those in `heartbeat_reply::stop`.
struct shard_grant {
    shard_number shard{0};
    epoch_number epoch{0};
};

/// Address at which an entry accepts connections of agents and other entries.
struct entry_address {
    entry_id id;
    std::string host;
    std::uint16_t port{0};
};

struct heartbeat_reply {
    std::uint64_t sequence{0};
    entry_id entry;
    revision_number plan_revision{0};
    /// Time from sending the call that confirmed the revision to the creation of this reply.
    std::uint64_t plan_age_ms{0};
    /// False until the entry has confirmed a plan. While false, the next two fields are not valid.
    bool plan_known{false};
    bool domain_in_service{false};
    bool vm_drained{false};
    std::vector<shard_grant> grants;
    /// Reported runs that must be stopped: not in the shard's record, or superseded.
    std::vector<task_run> stop;
    /// Reported runs whose end is committed; the agent may stop reporting them.
    std::vector<task_run> acknowledged;
    std::vector<entry_address> entries;
};

struct start_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_spec spec;
    attempt_number attempt{0};
    incarnation_number incarnation{0};
    /// Boot id of the worker to which the owner assigned the task.
    std::string worker_boot;
    /// Last heartbeat to which the owner replied; limits how long the start remains valid.
    std::uint64_t heartbeat_sequence{0};
    std::string checkpoint;
    std::string traceparent;
};

/// Reply to `start_task`. The phase is running, refused or, when the worker's response was lost,
/// starting. Later changes are reported in heartbeats.
struct start_reply {
    run_report report;
    refusal reason{refusal::none};
};

/// Takes a checkpoint of the run and stops it; the end is reported in the heartbeats.
struct evict_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_run run;
    /// False for a cancellation, which stops the run without a checkpoint.
    bool take_checkpoint{true};
};

/// Limits the processor share of a run; 100 removes the limit.
struct throttle_task {
    shard_number shard{0};
    epoch_number epoch{0};
    task_run run;
    std::uint32_t cpu_percent{100};
};

struct serve_request {
    /// Unique among the requests of the sending entry.
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

/// The `forward_` messages carry calls about an exclusive task from an entry that does not own the
/// task's shard to the owner.
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
    accepted,  ///< Committed; `record` holds the task's state.
    not_found, ///< The owner has no task with this key.
    not_run,   ///< Nothing was committed and nothing will be.
    conflict,  ///< The key exists with another spec; `record` holds the existing task.
    unknown    ///< It is not known whether the commit succeeded; retry with the same key.
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

/// Failure domains that the sender knows to be out of service.
struct closed_domains_state {
    closed_domain_set domains;
    /// Time since `domains` was confirmed to be complete; negative: never.
    std::int64_t age_ms{-1};
};

/// The leader's account of its memory for jobs.
struct job_memory {
    /// What is left for further jobs; negative when the jobs take more than they may.
    std::int64_t free_bytes{0};
    /// When the next job is expected to leave.
    std::int64_t room_in_ms{0};
};

/// Sent by an entry to the leader, which replies with `leader_pong`, to check that the connection
/// works.
struct leader_ping {
    std::uint64_t number{0};
    /// Version of the operators' configuration that the entry uses; zero: none yet.
    std::uint64_t config_version{0};
    closed_domains_state closed;
    /// Epoch of the leader that sent the last pong that the entry has received, and `sent_at_ms` of
    /// that pong; zero: none yet.
    epoch_number last_pong_epoch{0};
    std::int64_t last_pong_sent_at_ms{0};
    /// Memory that the entry could use for jobs if it led, in bytes.
    std::uint64_t job_memory_limit{0};
};

struct leader_pong {
    std::uint64_t number{0};
    epoch_number epoch{0};
    /// False while the leader loads the stored jobs.
    bool serving{false};
    /// Version of the operators' configuration that the leader uses; zero: none yet.
    std::uint64_t config_version{0};
    /// Time since that version was confirmed to be the newest; negative: never.
    std::int64_t config_age_ms{-1};
    closed_domains_state closed;
    /// On the leader's boot clock.
    std::int64_t sent_at_ms{0};
    /// Valid while `serving`.
    job_memory memory;
};

/// Sent between an entry and the leader to the one that has the earlier configuration.
struct config_update {
    operator_config config;
    /// Revision at which the store holds the configuration.
    revision_number revision{0};
};

/// Tells the leader that the job is stored, so that it need not wait for its watch of the store.
struct job_accepted {
    job_spec job;
};

/// Tells the leader that the cancellation of the job is stored.
struct job_cancelled {
    job_id job;
};

/// Sent by an entry that cannot reach the store: asks the leader to create the key with this value
/// unless the key exists.
struct create_key {
    std::uint64_t call_id{0};
    std::string key;
    std::string value;
    /// The key is created only while the store holds the operators' configuration at this revision;
    /// zero: under any configuration.
    revision_number config_revision{0};
};

enum class create_outcome : std::uint8_t {
    created,
    existed,
    not_created,   ///< The key was not created by this call and will not be.
    unknown,       ///< The key may have been created or may be created later.
    config_changed ///< Not created, because the store holds another configuration.
};

inline constexpr std::array<enum_name<create_outcome>, 5> create_outcome_names{
    {{create_outcome::created, "created"},
     {create_outcome::existed, "existed"},
     {create_outcome::not_created, "not_created"},
     {create_outcome::unknown, "unknown"},
     {create_outcome::config_changed, "config_changed"}}};

struct create_key_reply {
    std::uint64_t call_id{0};
    create_outcome outcome{create_outcome::unknown};
};

struct job_state_query {
    std::uint64_t call_id{0};
    job_id job;
};

/// `known` is false when the leader has no such job and while it loads the stored jobs.
struct job_state_reply {
    std::uint64_t call_id{0};
    bool known{false};
    job_state state{job_state::queued};
};

struct pending_jobs_query {
    std::uint64_t call_id{0};
    std::string queue;
};

/// `known` is false while the leader loads the stored jobs.
struct pending_jobs_reply {
    std::uint64_t call_id{0};
    bool known{false};
    std::uint64_t count{0};
};

/// Tells the leader of this epoch that the store no longer names it as the leader.
struct leadership_ended {
    epoch_number epoch{0};
};

/// Answers a report or a ping at an entry that does not lead: the receiver reads from the store
/// which entry does.
struct not_leading {};

/// Sent by a leader that the store does not confirm: asks the agent to read from the store which
/// entry leads, because an agent with an old view would go on to follow a former leader.
struct verify_leader {
    epoch_number epoch{0};
};

using message =
    std::variant<hello, heartbeat, heartbeat_reply, start_task, start_reply, evict_task,
                 throttle_task, serve_request, serve_reply, cancel_request, forward_submit,
                 forward_query, forward_cancel, forward_reply, vm_report, vm_orders, leader_ping,
                 leader_pong, job_accepted, job_cancelled, job_state_query, job_state_reply,
                 pending_jobs_query, pending_jobs_reply, create_key, create_key_reply,
                 config_update, leadership_ended, not_leading, verify_leader>;

} // namespace egretstile::wire
