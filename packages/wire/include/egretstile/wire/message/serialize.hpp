#pragma once

#include <egretstile/core/plan/plan.hpp>
#include <egretstile/core/shard/member_list.hpp>
#include <egretstile/core/shard/shard_record.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

/// Serialization functions for cereal. The order of the fields defines the format: a change of it
/// must increase `frame_version` and, for the types that are stored, `record_version`.
namespace egretstile {

template <typename Archive>
void serialize(Archive& archive, resources& value) {
    archive(value.cpu_millicores, value.memory_mb, value.accelerators);
}

template <typename Archive>
void serialize(Archive& archive, task_run& value) {
    archive(value.key, value.attempt);
}

template <typename Archive>
void serialize(Archive& archive, task_spec& value) {
    archive(value.key, value.kind, value.priority, value.team, value.need, value.idempotent,
            value.declared_run_time, value.payload);
}

template <typename Archive>
void serialize(Archive& archive, task_record& value) {
    archive(value.spec, value.state, value.attempt, value.vm, value.incarnation, value.worker_boot,
            value.checkpoint, value.failures, value.evictions, value.outcome, value.accepted_at_ms,
            value.finished_at_ms);
}

template <typename Archive>
void serialize(Archive& archive, run_report& value) {
    archive(value.run, value.shard, value.phase, value.checkpoint, value.detail);
}

template <typename Archive>
void serialize(Archive& archive, step_spec& value) {
    archive(value.count, value.need, value.estimate_ms, value.after, value.checkpointing,
            value.gang, value.rack_local, value.speculative, value.long_running,
            value.fills_idle_cpu, value.required_label, value.preferred_rack, value.max_per_vm,
            value.image, value.target_latency_ms, value.max_unavailable);
}

template <typename Archive>
void serialize(Archive& archive, closed_domain_set& value) {
    archive(value.closures, value.as_of);
}

template <typename Archive>
void serialize(Archive& archive, job_schedule& value) {
    archive(value.first_due_ms, value.interval_ms, value.repetitions);
}

template <typename Archive>
void serialize(Archive& archive, queue_policy& value) {
    archive(value.name, value.host, value.path_prefix, value.service, value.priority,
            value.max_attempts, value.slack_factor, value.target_completion, value.needs_advice);
}

template <typename Archive>
void serialize(Archive& archive, service_policy& value) {
    archive(value.name, value.runners_enforce_capacity);
}

template <typename Archive>
void serialize(Archive& archive, request_limits& value) {
    archive(value.max_body_bytes, value.max_header_bytes, value.header_timeout, value.idle_timeout);
}

template <typename Archive>
void serialize(Archive& archive, operator_config& value) {
    archive(value.version, value.queues, value.services, value.limits);
}

template <typename Archive>
void serialize(Archive& archive, job_spec& value) {
    archive(value.id, value.queue, value.policy, value.payload, value.steps, value.schedule,
            value.accepted_at_ms, value.accepted_epoch);
}

template <typename Archive>
void serialize(Archive& archive, task_progress& value) {
    archive(value.done, value.failed_attempts, value.last_attempt, value.checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, occurrence_range& value) {
    archive(value.first, value.last);
}

template <typename Archive>
void serialize(Archive& archive, task_failures& value) {
    archive(value.index, value.attempts);
}

template <typename Archive>
void serialize(Archive& archive, resume_point& value) {
    archive(value.index, value.last_attempt, value.checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, step_progress& value) {
    archive(value.occurrence, value.step, value.done, value.failures, value.resume_points);
}

template <typename Archive>
void serialize(Archive& archive, job_progress& value) {
    archive(value.state, value.done, value.steps);
}

template <typename Archive>
void serialize(Archive& archive, task_ref& value) {
    archive(value.job, value.occurrence, value.step, value.index);
}

template <typename Archive>
void serialize(Archive& archive, task_attempt& value) {
    archive(value.task, value.attempt);
}

template <typename Archive>
void serialize(Archive& archive, active_run& value) {
    archive(value.run, value.checkpoint, value.percent, value.load);
}

template <typename Archive>
void serialize(Archive& archive, ended_run& value) {
    archive(value.number, value.run, value.outcome, value.checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, rejected_run& value) {
    archive(value.run, value.reason);
}

template <typename Archive>
void serialize(Archive& archive, runner_registration& value) {
    archive(value.instance, value.service, value.failure_domain, value.rack, value.labels,
            value.capacity, value.state, value.drain_remaining_ms);
}

template <typename Archive>
void serialize(Archive& archive, start_order& value) {
    archive(value.run, value.payload, value.checkpoint, value.ticket, value.fills_idle_cpu,
            value.target_latency_ms, value.image, value.cpu_millicores);
}

template <typename Archive>
void serialize(Archive& archive, image_pressure& value) {
    archive(value.serving_image, value.filling_image, value.slope, value.variance);
}

template <typename Archive>
void serialize(Archive& archive, vm_report& value) {
    archive(value.vm, value.sequence, value.epoch, value.applied_order_number, value.runner,
            value.lists_known, value.lists_complete, value.runner_end, value.active, value.starting,
            value.ended, value.rejected, value.pressures, value.recent_done, value.recent_failed,
            value.late_lease_ms);
}

template <typename Archive>
void serialize(Archive& archive, vm_orders& value) {
    archive(value.epoch, value.agent_number, value.answered_report, value.permission_ms,
            value.based_on_report, value.start_within_ms, value.number, value.runner_instance,
            value.acknowledged_ends, value.starts, value.stops, value.attributes, value.pressures);
}

template <typename Archive>
void serialize(Archive& archive, shard_record& value) {
    archive(value.shard, value.epoch, value.owner, value.tasks);
}

template <typename Archive>
void serialize(Archive& archive, member& value) {
    archive(value.id, value.host, value.port);
}

template <typename Archive>
void serialize(Archive& archive, member_list& value) {
    archive(value.members);
}

template <typename Archive>
void serialize(Archive& archive, domain_plan& value) {
    archive(value.name, value.state, value.changed_in);
}

template <typename Archive>
void serialize(Archive& archive, plan_row& value) {
    archive(value.name, value.type, value.team, value.need, value.kind, value.priority,
            value.idempotent, value.repeats, value.day_of_month, value.minute_of_day,
            value.time_zone, value.run_time, value.payload, value.added_at_ms, value.changed_in);
}

template <typename Archive>
void serialize(Archive& archive, team_plan& value) {
    archive(value.name, value.quota, value.changed_in);
}

template <typename Archive>
void serialize(Archive& archive, drained_vm& value) {
    archive(value.name, value.changed_in);
}

template <typename Archive>
void serialize(Archive& archive, removed_row& value) {
    archive(value.table, value.name, value.changed_in);
}

template <typename Archive>
void serialize(Archive& archive, plan& value) {
    archive(value.version, value.change_id, value.changed_by, value.domains, value.rows,
            value.teams, value.drained, value.removed, value.removals_dropped_to);
}

} // namespace egretstile

namespace egretstile::wire {

template <typename Archive>
void serialize(Archive& archive, hello& value) {
    archive(value.role, value.name, value.incarnation);
}

template <typename Archive>
void serialize(Archive& archive, upstream_report& value) {
    archive(value.service, value.state, value.slots, value.slots_in_use, value.connections,
            value.latency_us);
}

template <typename Archive>
void serialize(Archive& archive, run_usage& value) {
    archive(value.run, value.team, value.kind, value.need, value.used);
}

template <typename Archive>
void serialize(Archive& archive, heartbeat& value) {
    archive(value.sequence, value.vm, value.incarnation, value.failure_domain, value.rack,
            value.worker_known, value.worker_boot, value.capacity, value.reserved,
            value.plan_revision, value.draining, value.upstream, value.runs, value.usage);
}

template <typename Archive>
void serialize(Archive& archive, shard_grant& value) {
    archive(value.shard, value.epoch);
}

template <typename Archive>
void serialize(Archive& archive, entry_address& value) {
    archive(value.id, value.host, value.port);
}

template <typename Archive>
void serialize(Archive& archive, heartbeat_reply& value) {
    archive(value.sequence, value.entry, value.plan_revision, value.plan_age_ms, value.plan_known,
            value.domain_in_service, value.vm_drained, value.grants, value.stop, value.acknowledged,
            value.entries);
}

template <typename Archive>
void serialize(Archive& archive, start_task& value) {
    archive(value.shard, value.epoch, value.spec, value.attempt, value.incarnation,
            value.worker_boot, value.heartbeat_sequence, value.checkpoint, value.traceparent);
}

template <typename Archive>
void serialize(Archive& archive, start_reply& value) {
    archive(value.report, value.reason);
}

template <typename Archive>
void serialize(Archive& archive, evict_task& value) {
    archive(value.shard, value.epoch, value.run, value.take_checkpoint);
}

template <typename Archive>
void serialize(Archive& archive, throttle_task& value) {
    archive(value.shard, value.epoch, value.run, value.cpu_percent);
}

template <typename Archive>
void serialize(Archive& archive, serve_request& value) {
    archive(value.request_id, value.service, value.deadline_ms, value.idempotent, value.body,
            value.traceparent);
}

template <typename Archive>
void serialize(Archive& archive, serve_reply& value) {
    archive(value.request_id, value.outcome, value.reason, value.http_status, value.body);
}

template <typename Archive>
void serialize(Archive& archive, cancel_request& value) {
    archive(value.request_id);
}

template <typename Archive>
void serialize(Archive& archive, forward_submit& value) {
    archive(value.call_id, value.spec, value.traceparent);
}

template <typename Archive>
void serialize(Archive& archive, forward_query& value) {
    archive(value.call_id, value.key);
}

template <typename Archive>
void serialize(Archive& archive, forward_cancel& value) {
    archive(value.call_id, value.key);
}

template <typename Archive>
void serialize(Archive& archive, forward_reply& value) {
    archive(value.call_id, value.outcome, value.reason, value.record);
}

template <typename Archive>
void serialize(Archive& archive, closed_domains_state& value) {
    archive(value.domains, value.age_ms);
}

template <typename Archive>
void serialize(Archive& archive, job_memory& value) {
    archive(value.free_bytes, value.room_in_ms);
}

template <typename Archive>
void serialize(Archive& archive, leader_ping& value) {
    archive(value.number, value.config_version, value.closed, value.last_pong_epoch,
            value.last_pong_sent_at_ms, value.job_memory_limit);
}

template <typename Archive>
void serialize(Archive& archive, leader_pong& value) {
    archive(value.number, value.epoch, value.serving, value.config_version, value.config_age_ms,
            value.closed, value.sent_at_ms, value.memory);
}

template <typename Archive>
void serialize(Archive& archive, config_update& value) {
    archive(value.config, value.revision);
}

template <typename Archive>
void serialize(Archive& archive, job_accepted& value) {
    archive(value.job);
}

template <typename Archive>
void serialize(Archive& archive, job_cancelled& value) {
    archive(value.job);
}

template <typename Archive>
void serialize(Archive& archive, job_state_query& value) {
    archive(value.call_id, value.job);
}

template <typename Archive>
void serialize(Archive& archive, job_state_reply& value) {
    archive(value.call_id, value.known, value.state);
}

template <typename Archive>
void serialize(Archive& archive, pending_jobs_query& value) {
    archive(value.call_id, value.queue);
}

template <typename Archive>
void serialize(Archive& archive, pending_jobs_reply& value) {
    archive(value.call_id, value.known, value.count);
}

template <typename Archive>
void serialize(Archive& archive, create_key& value) {
    archive(value.call_id, value.key, value.value, value.config_revision);
}

template <typename Archive>
void serialize(Archive& archive, create_key_reply& value) {
    archive(value.call_id, value.outcome);
}

template <typename Archive>
void serialize(Archive& archive, leadership_ended& value) {
    archive(value.epoch);
}

template <typename Archive>
void serialize(Archive& /*archive*/, not_leading& /*value*/) {}

template <typename Archive>
void serialize(Archive& archive, verify_leader& value) {
    archive(value.epoch);
}

} // namespace egretstile::wire
