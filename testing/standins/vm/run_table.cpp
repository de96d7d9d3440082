#include "vm/run_table.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace egretstile::standins {

namespace {

constexpr int status_refused = 409;
constexpr int status_unknown = 404;

// Maximum time that one update counts as execution. Updates are due every few milliseconds; after a
// longer gap the process was stopped, and runs do no work while it is.
constexpr std::chrono::milliseconds max_step{200};

Poco::JSON::Object need_object(const resources& need) {
    Poco::JSON::Object object;
    object.set("cpu_millicores", need.cpu_millicores);
    object.set("memory_mb", need.memory_mb);
    object.set("accelerators", need.accelerators);
    return object;
}

run_answer unknown_run() {
    return {status_unknown, "unknown run"};
}

run_answer run_ended() {
    return {status_refused, "run has ended"};
}

} // namespace

run_table::run_table(worker_settings settings, event_log& log, const fault_injector& fault)
    : settings_(std::move(settings))
    , log_(log)
    , fault_(fault)
    , last_advance_(boot_now()) {
    reboot(last_advance_);
}

void run_table::log_run(const std::string& event, const run_record& record,
                        const std::string& reason, boot_time at) {
    Poco::JSON::Object fields;
    fields.set("key", record.reported.run.key);
    fields.set("attempt", record.reported.run.attempt);
    fields.set("phase", std::string(name_of(run_phase_names, record.reported.phase)));
    fields.set("reason", reason);
    log_.write(event, at, fields);
}

void run_table::log_start(const std::string& event, const worker_start& call,
                          const std::string& reason, boot_time at) {
    Poco::JSON::Object fields;
    fields.set("key", call.run.key);
    fields.set("attempt", call.run.attempt);
    fields.set("reason", reason);
    fields.set("kind", std::string(name_of(task_kind_names, call.spec.kind)));
    fields.set("need", need_object(call.spec.need));
    fields.set("checkpoint", call.checkpoint);
    fields.set("incarnation", incarnation_);
    log_.write(event, at, fields);
}

run_table::run_record* run_table::find(const task_run& run) {
    const auto found = runs_.find({run.key, run.attempt});
    return found == runs_.end() ? nullptr : &found->second;
}

resources run_table::reserved_resources() const {
    resources sum;
    for (const auto& [run, record] : runs_) {
        if (!has_ended(record.reported.phase)) {
            sum = sum + record.reported.need;
        }
    }
    return sum;
}

double run_table::processor_share(const run_record& record) const {
    if (record.reported.phase != run_phase::running || settings_.capacity.cpu_millicores <= 0) {
        return 0;
    }
    const double used = static_cast<double>(record.reported.need.cpu_millicores) *
                        record.payload.use_percent / 100.0 * record.cpu_percent / 100.0;
    return used / static_cast<double>(settings_.capacity.cpu_millicores);
}

std::vector<neighbour> run_table::running_neighbours(const run_record* excluded) const {
    std::vector<neighbour> neighbours;
    for (const auto& [run, record] : runs_) {
        if (&record != excluded && record.reported.phase == run_phase::running) {
            neighbours.push_back({record.reported.kind, processor_share(record)});
        }
    }
    return neighbours;
}

void run_table::update_usage(run_record& record, std::chrono::nanoseconds elapsed) const {
    const bool executes = record.reported.phase == run_phase::running;
    const double use = executes ? record.payload.use_percent / 100.0 : 0.0;
    const double cpu =
        use * record.cpu_percent / 100.0 * static_cast<double>(record.reported.need.cpu_millicores);
    const double memory = has_ended(record.reported.phase)
                              ? 0.0
                              : record.payload.use_percent / 100.0 *
                                    static_cast<double>(record.reported.need.memory_mb);
    const double lag = std::chrono::duration<double>(settings_.usage_lag).count();
    const double weight =
        lag <= 0 ? 1.0 : 1.0 - std::exp(-std::chrono::duration<double>(elapsed).count() / lag);
    record.used_cpu += (cpu - record.used_cpu) * weight;
    record.used_memory += (memory - record.used_memory) * weight;
    record.reported.used = {std::llround(record.used_cpu), std::llround(record.used_memory),
                            executes ? record.reported.need.accelerators : 0};
}

void run_table::end(run_record& record, run_phase phase, const std::string& reason, boot_time at) {
    record.reported.phase = phase;
    record.reported.detail = reason;
    log_run("end", record, reason, at);
}

void run_table::advance_run(run_record& record, boot_time now, std::chrono::nanoseconds elapsed) {
    update_usage(record, elapsed);
    if (record.reported.phase != run_phase::running) {
        return;
    }
    const bool lease_ended = record.reported.lease_until <= now;
    const std::chrono::nanoseconds after_lease =
        lease_ended ? now - record.reported.lease_until : std::chrono::nanoseconds(0);
    const auto executed = std::max(elapsed - after_lease, std::chrono::nanoseconds(0));
    const double speed =
        record.cpu_percent / 100.0 /
        task_slowdown(record.reported.kind, running_neighbours(&record), service_load_);
    record.progress += std::chrono::duration_cast<std::chrono::microseconds>(executed * speed);
    if (record.payload.work && record.progress >= *record.payload.work) {
        const bool fails = record.reported.run.attempt <= record.payload.failing_attempts;
        end(record, fails ? run_phase::failed : run_phase::succeeded,
            fails ? "failed by payload" : record.payload.result,
            std::min(now, record.reported.lease_until));
    } else if (lease_ended) {
        end(record, run_phase::lease_expired, "lease expired", record.reported.lease_until);
    }
}

void run_table::advance_locked(boot_time now) {
    const std::chrono::nanoseconds elapsed = std::clamp<std::chrono::nanoseconds>(
        now - last_advance_, std::chrono::nanoseconds(0), max_step);
    last_advance_ = std::max(last_advance_, now);
    for (auto& [run, record] : runs_) {
        advance_run(record, now, elapsed);
    }
}

void run_table::advance(boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
}

bool run_table::accept_incarnation(incarnation_number incarnation) {
    const std::lock_guard lock(mutex_);
    if (incarnation < incarnation_) {
        return false;
    }
    incarnation_ = incarnation;
    return true;
}

worker_status run_table::status(boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    worker_status status{boot_id_, settings_.rack, settings_.capacity, incarnation_, {}};
    for (const auto& [run, record] : runs_) {
        status.runs.push_back(record.reported);
    }
    return status;
}

std::string run_table::start_refusal(const worker_start& call, boot_time now) {
    if (!call.boot.empty() && call.boot != boot_id_) {
        return "the start names another boot";
    }
    if (now > call.start_before) {
        return "start_before has passed";
    }
    if (now >= call.lease_until) {
        return "lease has expired";
    }
    if (!progress_of(call.checkpoint)) {
        return "malformed checkpoint";
    }
    if (!fits(reserved_resources() + call.spec.need, settings_.capacity)) {
        log_start("overcommit", call, "capacity exceeded", now);
        return "capacity exceeded";
    }
    return {};
}

run_answer run_table::start(const worker_start& call, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    if (find(call.run) != nullptr) {
        return {};
    }
    const std::string refusal = start_refusal(call, now);
    if (!refusal.empty()) {
        log_start("refused", call, refusal, now);
        return {status_refused, refusal};
    }
    run_record& record = runs_[{call.run.key, call.run.attempt}];
    record.reported.run = call.run;
    record.reported.shard = call.shard;
    record.reported.team = call.spec.team;
    record.reported.phase = run_phase::running;
    record.reported.kind = call.spec.kind;
    record.reported.need = call.spec.need;
    record.reported.lease_until = call.lease_until;
    record.reported.checkpoint = call.checkpoint;
    record.payload = parse_payload(call.spec.payload, call.spec.kind);
    record.progress = progress_of(call.checkpoint).value();
    log_start("start", call, "", now);
    if (fault_.mode() == fault_mode::fail_tasks) {
        end(record, run_phase::failed, "worker fails every task", now);
    }
    return {};
}

run_answer run_table::renew(const std::vector<worker_renewal>& renewals, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    for (const worker_renewal& renewal : renewals) {
        run_record* const record = find(renewal.run);
        if (record != nullptr && record->reported.phase == run_phase::running) {
            // Renewals may arrive out of order.
            record->reported.lease_until =
                std::max(record->reported.lease_until, renewal.lease_until);
        }
    }
    return {};
}

run_answer run_table::checkpoint(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    run_record* const record = find(run);
    if (record == nullptr) {
        return unknown_run();
    }
    if (has_ended(record->reported.phase)) {
        return run_ended();
    }
    record->reported.checkpoint = checkpoint_of(record->progress);
    return {200, record->reported.checkpoint};
}

run_answer run_table::suspend(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    run_record* const record = find(run);
    if (record == nullptr) {
        return unknown_run();
    }
    if (has_ended(record->reported.phase)) {
        return run_ended();
    }
    if (record->reported.phase == run_phase::running) {
        record->reported.phase = run_phase::suspended;
        record->reported.checkpoint = checkpoint_of(record->progress);
        log_run("suspend", *record, "", now);
    }
    return {200, record->reported.checkpoint};
}

run_answer run_table::resume(const task_run& run, boot_time lease_until, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    run_record* const record = find(run);
    if (record == nullptr) {
        return unknown_run();
    }
    if (has_ended(record->reported.phase)) {
        return run_ended();
    }
    if (now >= lease_until) {
        return {status_refused, "lease has expired"};
    }
    if (record->reported.phase == run_phase::suspended) {
        record->reported.phase = run_phase::running;
        record->reported.lease_until = lease_until;
        log_run("resume", *record, "", now);
    }
    record->reported.lease_until = std::max(record->reported.lease_until, lease_until);
    return {};
}

run_answer run_table::throttle(const task_run& run, std::uint32_t cpu_percent, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    run_record* const record = find(run);
    if (record == nullptr) {
        return unknown_run();
    }
    if (has_ended(record->reported.phase)) {
        return run_ended();
    }
    record->cpu_percent = std::clamp<std::uint32_t>(cpu_percent, 1, 100);
    return {};
}

run_answer run_table::stop(const task_run& run, bool take_checkpoint, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    run_record* const record = find(run);
    if (record == nullptr) {
        return unknown_run();
    }
    const run_phase wanted = take_checkpoint ? run_phase::checkpointed : run_phase::stopped;
    if (has_ended(record->reported.phase) && record->reported.phase != wanted) {
        return run_ended();
    }
    if (!has_ended(record->reported.phase)) {
        if (take_checkpoint) {
            record->reported.checkpoint = checkpoint_of(record->progress);
        }
        end(*record, wanted, "stopped by agent", now);
    }
    return {200, take_checkpoint ? record->reported.checkpoint : ""};
}

run_answer run_table::forget(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    const run_record* const record = find(run);
    if (record != nullptr && !has_ended(record->reported.phase)) {
        return {status_refused, "run has not ended"};
    }
    runs_.erase({run.key, run.attempt});
    return {};
}

void run_table::reboot(boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    for (auto& [run, record] : runs_) {
        if (!has_ended(record.reported.phase)) {
            end(record, run_phase::stopped, "reboot", now);
        }
    }
    runs_.clear();
    incarnation_ = 0;
    boot_id_ = "boot-" + std::to_string(::getpid()) + "-" +
               std::to_string(now.time_since_epoch().count()) + "-" +
               std::to_string(++boot_number_);
    Poco::JSON::Object fields;
    fields.set("boot", boot_id_);
    fields.set("capacity", need_object(settings_.capacity));
    log_.write("boot", now, fields);
}

void run_table::set_service_load(double load) {
    const std::lock_guard lock(mutex_);
    service_load_ = load;
}

double run_table::request_slowdown() {
    const std::lock_guard lock(mutex_);
    return service_slowdown(running_neighbours(nullptr));
}

} // namespace egretstile::standins
