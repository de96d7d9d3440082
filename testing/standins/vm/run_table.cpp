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

// A process that was stopped for longer did no work meanwhile.
constexpr std::chrono::milliseconds longest_step{200};

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

run_table::run_table(worker_traits traits, event_log& log, const fault_switch& fault)
    : traits_(std::move(traits))
    , log_(log)
    , fault_(fault)
    , advanced_(boot_now()) {
    reboot(advanced_);
}

void run_table::log_run(const std::string& event, const held_run& held, const std::string& reason,
                        boot_time at) {
    Poco::JSON::Object fields;
    fields.set("key", held.listed.run.key);
    fields.set("attempt", held.listed.run.attempt);
    fields.set("phase", std::string(name_of(run_phase_names, held.listed.phase)));
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

run_table::held_run* run_table::find(const task_run& run) {
    const auto found = runs_.find({run.key, run.attempt});
    return found == runs_.end() ? nullptr : &found->second;
}

resources run_table::held_need() const {
    resources sum;
    for (const auto& [run, held] : runs_) {
        if (!has_ended(held.listed.phase)) {
            sum = sum + held.listed.need;
        }
    }
    return sum;
}

double run_table::processor_share(const held_run& held) const {
    if (held.listed.phase != run_phase::running || traits_.capacity.cpu_millicores <= 0) {
        return 0;
    }
    const double used = static_cast<double>(held.listed.need.cpu_millicores) *
                        held.payload.use_percent / 100.0 * held.cpu_percent / 100.0;
    return used / static_cast<double>(traits_.capacity.cpu_millicores);
}

std::vector<neighbour> run_table::executing_but(const held_run* excluded) const {
    std::vector<neighbour> neighbours;
    for (const auto& [run, held] : runs_) {
        if (&held != excluded && held.listed.phase == run_phase::running) {
            neighbours.push_back({held.listed.kind, processor_share(held)});
        }
    }
    return neighbours;
}

void run_table::follow_usage(held_run& held, std::chrono::nanoseconds passed) const {
    const bool executes = held.listed.phase == run_phase::running;
    const double use = executes ? held.payload.use_percent / 100.0 : 0.0;
    const double cpu =
        use * held.cpu_percent / 100.0 * static_cast<double>(held.listed.need.cpu_millicores);
    const double memory =
        has_ended(held.listed.phase)
            ? 0.0
            : held.payload.use_percent / 100.0 * static_cast<double>(held.listed.need.memory_mb);
    const double lag = std::chrono::duration<double>(traits_.usage_lag).count();
    const double followed =
        lag <= 0 ? 1.0 : 1.0 - std::exp(-std::chrono::duration<double>(passed).count() / lag);
    held.used_cpu += (cpu - held.used_cpu) * followed;
    held.used_memory += (memory - held.used_memory) * followed;
    held.listed.used = {std::llround(held.used_cpu), std::llround(held.used_memory),
                        executes ? held.listed.need.accelerators : 0};
}

void run_table::end(held_run& held, run_phase phase, const std::string& reason, boot_time at) {
    held.listed.phase = phase;
    held.listed.detail = reason;
    log_run("end", held, reason, at);
}

void run_table::advance_run(held_run& held, boot_time now, std::chrono::nanoseconds passed) {
    follow_usage(held, passed);
    if (held.listed.phase != run_phase::running) {
        return;
    }
    const bool lease_over = held.listed.lease_until <= now;
    const std::chrono::nanoseconds beyond =
        lease_over ? now - held.listed.lease_until : std::chrono::nanoseconds(0);
    const auto executed = std::max(passed - beyond, std::chrono::nanoseconds(0));
    const double speed = held.cpu_percent / 100.0 /
                         task_slowdown(held.listed.kind, executing_but(&held), service_load_);
    held.progress += std::chrono::duration_cast<std::chrono::microseconds>(executed * speed);
    if (held.payload.work && held.progress >= *held.payload.work) {
        const bool fails = held.listed.run.attempt <= held.payload.failing_attempts;
        end(held, fails ? run_phase::failed : run_phase::succeeded,
            fails ? "failed by payload" : held.payload.result,
            std::min(now, held.listed.lease_until));
    } else if (lease_over) {
        end(held, run_phase::lease_expired, "lease expired", held.listed.lease_until);
    }
}

void run_table::advance_locked(boot_time now) {
    const std::chrono::nanoseconds passed = std::clamp<std::chrono::nanoseconds>(
        now - advanced_, std::chrono::nanoseconds(0), longest_step);
    advanced_ = std::max(advanced_, now);
    for (auto& [run, held] : runs_) {
        advance_run(held, now, passed);
    }
}

void run_table::advance(boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
}

bool run_table::admit(incarnation_number incarnation) {
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
    worker_status status{boot_, traits_.rack, traits_.capacity, incarnation_, {}};
    for (const auto& [run, held] : runs_) {
        status.runs.push_back(held.listed);
    }
    return status;
}

std::string run_table::start_refusal(const worker_start& call, boot_time now) {
    if (!call.boot.empty() && call.boot != boot_) {
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
    if (!fits(held_need() + call.spec.need, traits_.capacity)) {
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
    held_run& held = runs_[{call.run.key, call.run.attempt}];
    held.listed.run = call.run;
    held.listed.shard = call.shard;
    held.listed.team = call.spec.team;
    held.listed.phase = run_phase::running;
    held.listed.kind = call.spec.kind;
    held.listed.need = call.spec.need;
    held.listed.lease_until = call.lease_until;
    held.listed.checkpoint = call.checkpoint;
    held.payload = parse_payload(call.spec.payload, call.spec.kind);
    held.progress = progress_of(call.checkpoint).value();
    log_start("start", call, "", now);
    if (fault_.mode() == fault_mode::fail_tasks) {
        end(held, run_phase::failed, "worker fails every task", now);
    }
    return {};
}

run_answer run_table::renew(const std::vector<worker_renewal>& renewals, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    for (const worker_renewal& renewal : renewals) {
        held_run* const held = find(renewal.run);
        if (held != nullptr && held->listed.phase == run_phase::running) {
            // Renewals may arrive out of order.
            held->listed.lease_until = std::max(held->listed.lease_until, renewal.lease_until);
        }
    }
    return {};
}

run_answer run_table::checkpoint(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    held_run* const held = find(run);
    if (held == nullptr) {
        return unknown_run();
    }
    if (has_ended(held->listed.phase)) {
        return run_ended();
    }
    held->listed.checkpoint = checkpoint_of(held->progress);
    return {200, held->listed.checkpoint};
}

run_answer run_table::suspend(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    held_run* const held = find(run);
    if (held == nullptr) {
        return unknown_run();
    }
    if (has_ended(held->listed.phase)) {
        return run_ended();
    }
    if (held->listed.phase == run_phase::running) {
        held->listed.phase = run_phase::suspended;
        held->listed.checkpoint = checkpoint_of(held->progress);
        log_run("suspend", *held, "", now);
    }
    return {200, held->listed.checkpoint};
}

run_answer run_table::resume(const task_run& run, boot_time lease_until, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    held_run* const held = find(run);
    if (held == nullptr) {
        return unknown_run();
    }
    if (has_ended(held->listed.phase)) {
        return run_ended();
    }
    if (now >= lease_until) {
        return {status_refused, "lease has expired"};
    }
    if (held->listed.phase == run_phase::suspended) {
        held->listed.phase = run_phase::running;
        held->listed.lease_until = lease_until;
        log_run("resume", *held, "", now);
    }
    held->listed.lease_until = std::max(held->listed.lease_until, lease_until);
    return {};
}

run_answer run_table::throttle(const task_run& run, std::uint32_t cpu_percent, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    held_run* const held = find(run);
    if (held == nullptr) {
        return unknown_run();
    }
    if (has_ended(held->listed.phase)) {
        return run_ended();
    }
    held->cpu_percent = std::clamp<std::uint32_t>(cpu_percent, 1, 100);
    return {};
}

run_answer run_table::stop(const task_run& run, bool take_checkpoint, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    held_run* const held = find(run);
    if (held == nullptr) {
        return unknown_run();
    }
    const run_phase wanted = take_checkpoint ? run_phase::checkpointed : run_phase::stopped;
    if (has_ended(held->listed.phase) && held->listed.phase != wanted) {
        return run_ended();
    }
    if (!has_ended(held->listed.phase)) {
        if (take_checkpoint) {
            held->listed.checkpoint = checkpoint_of(held->progress);
        }
        end(*held, wanted, "stopped by agent", now);
    }
    return {200, take_checkpoint ? held->listed.checkpoint : ""};
}

run_answer run_table::forget(const task_run& run, boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    const held_run* const held = find(run);
    if (held != nullptr && !has_ended(held->listed.phase)) {
        return {status_refused, "run has not ended"};
    }
    runs_.erase({run.key, run.attempt});
    return {};
}

void run_table::reboot(boot_time now) {
    const std::lock_guard lock(mutex_);
    advance_locked(now);
    for (auto& [run, held] : runs_) {
        if (!has_ended(held.listed.phase)) {
            end(held, run_phase::stopped, "reboot", now);
        }
    }
    runs_.clear();
    incarnation_ = 0;
    boot_ = "boot-" + std::to_string(::getpid()) + "-" +
            std::to_string(now.time_since_epoch().count()) + "-" + std::to_string(++boot_number_);
    Poco::JSON::Object fields;
    fields.set("boot", boot_);
    fields.set("capacity", need_object(traits_.capacity));
    log_.write("boot", now, fields);
}

void run_table::set_service_load(double load) {
    const std::lock_guard lock(mutex_);
    service_load_ = load;
}

double run_table::request_slowdown() {
    const std::lock_guard lock(mutex_);
    return service_slowdown(executing_but(nullptr));
}

} // namespace egretstile::standins
