#include <egretstile/core/job/job_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace egretstile {

bool job_scheduler::start_gang(job_entry& job, std::uint32_t occurrence, std::uint32_t step,
                               boot_time now) {
    const step_state& state = job.occurrences[occurrence].steps[step];
    if (state.waiting.size() < state.tasks.size()) {
        return true; // Members of the previous run have not ended yet.
    }
    attempt_number attempt = 0;
    for (const job_task& task : state.tasks) {
        if (task.retry_at > now || may_have_unreported_run(job, task)) {
            return true;
        }
        attempt = std::max(attempt, next_attempt(job, task.progress));
    }
    std::vector<gang_member> members =
        place_gang(job, {job.spec.id, occurrence, step, 0}, attempt, now);
    const task_ref first{job.spec.id, occurrence, step, 0};
    const std::string& wanted_rack = job.spec.steps[step].preferred_rack;
    if (members.empty()) {
        const near_wait* const wait = locality_.find(first, wanted_rack);
        if (wait != nullptr && !wait->over) {
            return true; // Waits for a rack, not for room.
        }
        if (!settings_.track_runner_health) {
            locality_.renew_without_alternative(first, wanted_rack, now);
        }
        record_waiting_step(job, occurrence, step, now);
        if (is_last_attempt(job, first)) {
            begin_proof_wait(job, first, now);
        }
        return false;
    }
    for (const gang_member& member : members) {
        order_start(job, member.task, attempt, *member.vm, now);
    }
    const bool on_one_rack =
        std::all_of(members.begin(), members.end(), [&](const gang_member& member) {
            return member.vm->runner.rack == members.front().vm->runner.rack;
        });
    finish_wait(first, wanted_rack, on_one_rack ? wait_end::near : wait_end::remote, now);
    return true;
}

std::vector<job_scheduler::gang_member> job_scheduler::place_gang(const job_entry& job,
                                                                  const task_ref& first,
                                                                  attempt_number attempt,
                                                                  boot_time now) {
    std::vector<std::string> racks;
    if (job.spec.steps[first.step].rack_local) {
        racks = racks_by_free_cpu(job);
    }
    // The empty name stands for all racks; tried last, when no single rack has the room.
    racks.emplace_back();
    for (const std::string& rack : racks) {
        if (rack.empty() && gang_waits(job, first, racks, now)) {
            return {};
        }
        std::vector<gang_member> members = place_gang_on_rack(job, first, attempt, rack, now);
        if (!members.empty()) {
            return members;
        }
    }
    return {};
}

std::vector<job_scheduler::gang_member>
job_scheduler::place_gang_on_rack(const job_entry& job, const task_ref& first,
                                  attempt_number attempt, const std::string& rack, boot_time now) {
    const step_spec& step = job.spec.steps[first.step];
    std::vector<gang_member> members;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        placement_request request;
        request.job = &job;
        request.step = &step;
        request.task = first;
        request.task.index = index;
        request.rack = rack;
        request.pressures = &pressures_;
        set_room_terms(request);
        request.health = health_demand_of(job, request.task, now);
        request.last_failed_vm = jobs_.find_task(request.task)->failed_on;
        vm_state* const vm = placer_->choose(request, vms_, closed_domains_, now);
        if (vm == nullptr) {
            // Either all members start or none does; releases what was reserved so far.
            for (const gang_member& member : members) {
                member.vm->remove_run({member.task, attempt});
            }
            return {};
        }
        vm->add_run({request.task, attempt}, needs_of(step));
        members.push_back({vm, request.task});
    }
    return members;
}

std::vector<std::string> job_scheduler::racks_by_free_cpu(const job_entry& job) const {
    std::map<std::string, std::int64_t> room;
    for (const auto& [name, vm] : vms_) {
        if (vm.usable && vm.runner.state == runner_state::ready &&
            vm.runner.service == job.policy.service && !vm.runner.rack.empty()) {
            room[vm.runner.rack] += vm.free_millicores();
        }
    }
    std::vector<std::pair<std::int64_t, std::string>> sorted;
    sorted.reserve(room.size());
    for (const auto& [rack, millicores] : room) {
        sorted.emplace_back(-millicores, rack);
    }
    std::sort(sorted.begin(), sorted.end());
    std::vector<std::string> racks;
    racks.reserve(sorted.size() + 1);
    for (const auto& [millicores, rack] : sorted) {
        racks.push_back(rack);
    }
    return racks;
}

void job_scheduler::stop_other_gang_members(const job_entry& job, const task_attempt& missing,
                                            boot_time now) {
    const std::vector<job_task>& tasks =
        job.occurrences[missing.task.occurrence].steps[missing.task.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const task_attempt member{
            {missing.task.job, missing.task.occurrence, missing.task.step, index}, missing.attempt};
        const tracked_run* const run = find_run(member);
        if (run != nullptr) {
            order_stop(vms_[run->vm], member, now);
        }
    }
}

void job_scheduler::finish_gang(job_entry& job, const task_ref& task) {
    const std::uint32_t count = job.spec.steps[task.step].count;
    for (std::uint32_t index = 0; index < count; ++index) {
        jobs_.mark_done(job, {task.job, task.occurrence, task.step, index});
    }
}

} // namespace egretstile
