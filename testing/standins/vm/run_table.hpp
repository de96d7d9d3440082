#pragma once

#include "common/fault_injector.hpp"
#include "vm/event_log.hpp"
#include "vm/slowdown.hpp"
#include "vm/work_payload.hpp"

#include <egretstile/core/admission/worker_types.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::standins {

struct worker_settings {
    resources capacity{32000, 125000, 0};
    std::string rack{"rack"};
    /// Time constant of the exponential smoothing that turns actual into reported usage.
    milliseconds usage_lag{1000};
};

/// HTTP status of a call. `text` is a checkpoint, possibly empty, when the status is 200, and the
/// reason otherwise.
struct run_answer {
    int status{200};
    std::string text;
};

/// The worker's runs. Each call that takes `now` first updates all runs to that time and ends those
/// that are done or whose lease has expired. The work is simulated: progress counts only up to the
/// end of the lease, however late the worker detects that end. Thread-safe.
class run_table {
public:
    /// Both references must outlive the table.
    run_table(worker_settings settings, event_log& log, const fault_injector& fault);

    /// Returns false when a call with a higher incarnation was accepted since the last reboot; the
    /// caller must then refuse the call.
    bool accept_incarnation(incarnation_number incarnation);

    worker_status status(boot_time now);
    run_answer start(const worker_start& call, boot_time now);
    run_answer renew(const std::vector<worker_renewal>& renewals, boot_time now);
    run_answer checkpoint(const task_run& run, boot_time now);
    run_answer suspend(const task_run& run, boot_time now);
    run_answer resume(const task_run& run, boot_time lease_until, boot_time now);
    run_answer throttle(const task_run& run, std::uint32_t cpu_percent, boot_time now);
    /// Refuses a run that has ended in a phase other than the one that this stop leads to.
    run_answer stop(const task_run& run, bool take_checkpoint, boot_time now);
    /// Removes an ended run. Succeeds for an unknown run, which was already removed.
    run_answer forget(const task_run& run, boot_time now);

    /// Ends and removes all runs, and chooses a new boot id.
    void reboot(boot_time now);

    /// Updates all runs. Must be called often, so that the ends of runs are detected soon.
    void advance(boot_time now);

    /// Sets the share of the upstream's slots that are in use. A higher share slows runs.
    void set_service_load(double load);

    /// Factor by which the current runs slow requests.
    double request_slowdown();

private:
    using run_id = std::pair<task_key, attempt_number>;

    struct run_record {
        worker_run reported;
        work_payload payload;
        std::chrono::microseconds progress{0};
        std::uint32_t cpu_percent{100};
        double used_cpu{0};
        double used_memory{0};
    };

    void advance_locked(boot_time now);
    void advance_run(run_record& record, boot_time now, std::chrono::nanoseconds elapsed);
    void update_usage(run_record& record, std::chrono::nanoseconds elapsed) const;
    void end(run_record& record, run_phase phase, const std::string& reason, boot_time at);
    std::string start_refusal(const worker_start& call, boot_time now);
    resources reserved_resources() const;
    double processor_share(const run_record& record) const;
    std::vector<neighbour> running_neighbours(const run_record* excluded) const;
    run_record* find(const task_run& run);
    void log_run(const std::string& event, const run_record& record, const std::string& reason,
                 boot_time at);
    void log_start(const std::string& event, const worker_start& call, const std::string& reason,
                   boot_time at);

    worker_settings settings_;
    event_log& log_;
    const fault_injector& fault_;
    std::mutex mutex_;
    std::map<run_id, run_record> runs_;
    std::uint64_t boot_number_{0};
    std::string boot_id_;
    incarnation_number incarnation_{0};
    double service_load_{0};
    boot_time last_advance_;
};

} // namespace egretstile::standins
