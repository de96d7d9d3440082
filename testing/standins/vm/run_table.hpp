#pragma once

#include "common/fault_switch.hpp"
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

struct worker_traits {
    resources capacity{32000, 125000, 0};
    std::string rack{"rack"};
    /// Time constant with which reported usage follows actual usage.
    milliseconds usage_lag{1000};
};

/// HTTP status of a call and its checkpoint (status 200) or its reason (other status).
struct run_answer {
    int status{200};
    std::string text;
};

/// The worker's runs. Each call first ends what is over at `now`. A run executes in simulated time:
/// its progress is counted up to the end of its lease and not beyond, however late the worker
/// notices the end. Thread-safe.
class run_table {
public:
    /// Both references must outlive the table.
    run_table(worker_traits traits, event_log& log, const fault_switch& fault);

    /// Whether the worker takes calls of `incarnation`; a higher one than before is remembered.
    bool admit(incarnation_number incarnation);

    worker_status status(boot_time now);
    run_answer start(const worker_start& call, boot_time now);
    run_answer renew(const std::vector<worker_renewal>& renewals, boot_time now);
    run_answer checkpoint(const task_run& run, boot_time now);
    run_answer suspend(const task_run& run, boot_time now);
    run_answer resume(const task_run& run, boot_time lease_until, boot_time now);
    run_answer throttle(const task_run& run, std::uint32_t cpu_percent, boot_time now);
    /// Refused when the run has already ended in another way than this stop would end it.
    run_answer stop(const task_run& run, bool take_checkpoint, boot_time now);
    /// An unknown run counts as forgotten.
    run_answer forget(const task_run& run, boot_time now);

    /// New boot id; all runs are gone.
    void reboot(boot_time now);

    /// Ends what is over; called often, so that ends are noticed soon.
    void advance(boot_time now);

    /// Share of the upstream's slots that are in use; slows runs.
    void set_service_load(double load);

    /// Factor by which runs slow requests at the moment.
    double request_slowdown();

private:
    using run_id = std::pair<task_key, attempt_number>;

    struct held_run {
        worker_run listed;
        work_payload payload;
        std::chrono::microseconds progress{0};
        std::uint32_t cpu_percent{100};
        double used_cpu{0};
        double used_memory{0};
    };

    void advance_locked(boot_time now);
    void advance_run(held_run& held, boot_time now, std::chrono::nanoseconds passed);
    void follow_usage(held_run& held, std::chrono::nanoseconds passed) const;
    void end(held_run& held, run_phase phase, const std::string& reason, boot_time at);
    std::string start_refusal(const worker_start& call, boot_time now);
    resources held_need() const;
    double processor_share(const held_run& held) const;
    std::vector<neighbour> executing_but(const held_run* excluded) const;
    held_run* find(const task_run& run);
    void log_run(const std::string& event, const held_run& held, const std::string& reason,
                 boot_time at);
    void log_start(const std::string& event, const worker_start& call, const std::string& reason,
                   boot_time at);

    worker_traits traits_;
    event_log& log_;
    const fault_switch& fault_;
    std::mutex mutex_;
    std::map<run_id, held_run> runs_;
    std::uint64_t boot_number_{0};
    std::string boot_;
    incarnation_number incarnation_{0};
    double service_load_{0};
    boot_time advanced_;
};

} // namespace egretstile::standins
