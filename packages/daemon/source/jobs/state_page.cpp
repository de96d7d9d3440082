#include "jobs/state_page.hpp"

#include <egretstile/core/base/name_table.hpp>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <chrono>
#include <sstream>

namespace egretstile::daemon {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::int64_t age_ms(boot_time from, boot_time now) {
    return std::chrono::duration_cast<milliseconds>(now - from).count();
}

template <typename Enum, std::size_t Size>
std::string text_of(const std::array<enum_name<Enum>, Size>& names, Enum value) {
    return std::string(name_of(names, value));
}

Array::Ptr entries_of(const deployment_state& state) {
    Array::Ptr entries = new Array;
    for (const entry_status& record : state.entries) {
        Object::Ptr entry = new Object;
        entry->set("name", record.name);
        entry->set("config_version", record.config_version);
        entry->set("heard_ms_ago", record.last_ping_age_ms);
        entries->add(entry);
    }
    return entries;
}

Array::Ptr queues_of(const operator_config& config, const job_scheduler& scheduler) {
    Array::Ptr queues = new Array;
    for (const queue_policy& policy : config.queues) {
        Object::Ptr queue = new Object;
        queue->set("name", policy.name);
        queue->set("service", policy.service);
        queue->set("priority", policy.priority);
        queue->set("pending", scheduler.pending(policy.name));
        queue->set("run_time_ratio", scheduler.run_times().ratio(policy.name));
        queues->add(queue);
    }
    return queues;
}

Object::Ptr unfinished_by_state(const job_table& jobs) {
    Object::Ptr counts = new Object;
    std::map<std::string, std::size_t> by_state;
    for (const job_entry* const job : jobs.unfinished()) {
        ++by_state[text_of(job_state_names, job->state)];
    }
    for (const auto& [state, count] : by_state) {
        counts->set(state, count);
    }
    return counts;
}

Array::Ptr vms_of(const job_scheduler& scheduler, boot_time now) {
    Array::Ptr vms = new Array;
    for (const auto& [name, record] : scheduler.vms()) {
        Object::Ptr vm = new Object;
        vm->set("name", name);
        vm->set("failure_domain", record.runner.failure_domain);
        vm->set("service", record.runner.service);
        vm->set("runner", text_of(runner_state_names, record.runner.state));
        vm->set("usable", record.usable);
        vm->set("report_age_ms", age_ms(record.reported_at, now));
        vm->set("runs", record.runs.size());
        vm->set("capacity_millicores", record.runner.capacity.cpu_millicores);
        vm->set("free_millicores", record.free_millicores());
        vm->set("serving_millicores", record.serving_millicores);
        vm->set("filling_millicores", record.filling_millicores);
        vm->set("avoided", record.avoided_until > now);
        vm->set("suspect", record.health.suspect);
        vms->add(vm);
    }
    return vms;
}

Object::Ptr to_json(const service_room& room) {
    Object::Ptr object = new Object;
    object->set("vms", room.vms);
    for (const enum_name<room_part>& row : room_part_names) {
        object->set(std::string(row.name) + "_millicores", room.at(row.value));
    }
    Object::Ptr images = new Object;
    for (const auto& [image, withheld] : room.withheld_by_image) {
        Object::Ptr entry = new Object;
        entry->set("vms", withheld.vms);
        entry->set("millicores", withheld.millicores);
        images->set(image, entry);
    }
    object->set("withheld_headroom_by_image", images);
    return object;
}

Object::Ptr rooms_of(const job_scheduler& scheduler, boot_time now) {
    Object::Ptr rooms = new Object;
    for (const auto& [service, room] : scheduler.account_room(now)) {
        rooms->set(service, to_json(room));
    }
    return rooms;
}

Object::Ptr to_json(const running_task& run) {
    Object::Ptr object = new Object;
    object->set("task", to_string(run.task));
    object->set("attempt", run.attempt);
    object->set("vm", run.vm);
    object->set("percent", run.percent);
    object->set("stopping", run.stopping);
    object->set("listed", run.listed);
    return object;
}

Object::Ptr to_json(const step_explanation& step) {
    Object::Ptr object = new Object;
    object->set("step", std::to_string(step.occurrence) + "." + std::to_string(step.step));
    object->set("tasks", step.tasks);
    object->set("done", step.done);
    object->set("waiting", step.waiting);
    object->set("waits_for", text_of(step_wait_names, step.waits_for));
    if (!step.obstacles.empty()) {
        Object::Ptr obstacles = new Object;
        for (const auto& [obstacle, vms] : step.obstacles) {
            obstacles->set(text_of(placement_obstacle_names, obstacle), vms);
        }
        object->set("vms_by_obstacle", obstacles);
    }
    if (step.waits_for == step_wait::near_place) {
        object->set("near_rack", step.near_rack);
        object->set("near_wait_left_ms", step.near_wait_left_ms);
    }
    if (step.room) {
        object->set("room", to_json(*step.room));
    }
    Array::Ptr running = new Array;
    for (const running_task& run : step.running) {
        running->add(to_json(run));
    }
    object->set("running", running);
    return object;
}

std::string text_of(const Object& object) {
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

std::string describe_deployment(const deployment_state& state, const operator_config* config,
                                const job_scheduler* scheduler, boot_time now) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("entry", state.entry);
    object.set("leader", state.leader);
    object.set("epoch", state.epoch);
    object.set("config_version", state.config_version);
    object.set("config_age_ms", state.config_age_ms);
    Array::Ptr closed = new Array;
    for (const failure_domain_name& domain : state.closed_domains) {
        closed->add(domain);
    }
    object.set("closed_domains", closed);
    if (scheduler == nullptr) {
        return text_of(object);
    }
    std::uint64_t oldest = state.config_version;
    for (const entry_status& record : state.entries) {
        oldest = std::min(oldest, record.config_version);
    }
    object.set("oldest_config_version", oldest);
    object.set("entries", entries_of(state));
    object.set("recovering", scheduler->is_recovering());
    object.set("jobs", scheduler->job_count());
    object.set("unfinished", unfinished_by_state(scheduler->jobs()));
    if (config != nullptr) {
        object.set("queues", queues_of(*config, *scheduler));
    }
    object.set("room", rooms_of(*scheduler, now));
    object.set("vms", vms_of(*scheduler, now));
    return text_of(object);
}

std::string describe_job(const job_id& id, const job_explanation& job) {
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("job", id);
    object.set("state", text_of(job_state_names, job.state));
    object.set("queue", job.queue);
    object.set("priority", job.priority);
    Array::Ptr steps = new Array;
    for (const step_explanation& step : job.steps) {
        steps->add(to_json(step));
    }
    object.set("steps", steps);
    return text_of(object);
}

} // namespace egretstile::daemon
