#pragma once

#include <egretstile/core/admission/worker_action.hpp>
#include <egretstile/core/admission/worker_types.hpp>

#include <map>
#include <optional>
#include <string>

namespace egretstile::testing {

/// Small model of the platform's worker: runs under leases, fencing by incarnation, `start_before`.
/// It does not check capacity; only the agent does.
class model_worker {
public:
    explicit model_worker(const resources& capacity)
        : capacity_(capacity) {}

    /// Nothing when the incarnation is fenced off.
    std::optional<worker_status> status(incarnation_number incarnation);
    call_result start(incarnation_number incarnation, const worker_start& call, boot_time now);
    call_result act(incarnation_number incarnation, const worker_action& action, boot_time now);

    /// Ends executing runs whose lease is over.
    void expire(boot_time now);
    /// The program of the run ends by itself; ignored unless it executes.
    void end_program(const task_run& run, run_phase phase);
    void restart();

    const std::map<task_run, worker_run>& runs() const { return runs_; }

    /// How often the run was started, on any boot.
    int start_count(const task_run& run) const;

    /// What running and suspended runs hold.
    resources in_use() const;

    const resources& capacity() const { return capacity_; }

    std::string boot() const { return "boot-" + std::to_string(boot_); }

private:
    bool accept(incarnation_number incarnation);
    static call_result act_on(worker_run& run, const worker_action& action, boot_time now);

    resources capacity_;
    int boot_{1};
    incarnation_number highest_incarnation_{0};
    std::map<task_run, worker_run> runs_;
    std::map<task_run, int> start_counts_;
};

} // namespace egretstile::testing
