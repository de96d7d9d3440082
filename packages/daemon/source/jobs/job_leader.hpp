#pragma once

#include "jobs/leader_election.hpp"
#include "jobs/prefix_view.hpp"
#include "jobs/progress_batcher.hpp"

#include <egretstile/core/job/job_scheduler.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace egretstile::daemon {

struct leader_settings {
    scheduler_settings scheduler;
    /// Shortest time between two writes of job progress; one write stores the changes of several
    /// jobs.
    milliseconds commit_interval{60};
    /// Largest value that the store takes, in bytes.
    std::size_t max_value_bytes{std::size_t{1024} * 1024};
    /// Time from the first request for a scheduling pass to the pass, which serves all requests
    /// before it. It thus bounds the rate of passes.
    milliseconds pass_interval{4};
};

/// Runs the `job_scheduler` in the leading entry: loads the stored jobs, stores their progress, and
/// exchanges reports and orders with the agents. An object exists for the duration of one
/// leadership. For the event loop's thread only.
class job_leader {
public:
    struct handlers {
        /// Sends a message to the VM's agent; false when it is not connected.
        std::function<bool(const vm_name&, const wire::message&)> send;
        /// A report or a failed write shows that there is a leader of a later epoch.
        std::function<void()> on_later_epoch;
        /// Called for each decision of the scheduler, which is also logged.
        std::function<void(decision_kind)> on_decision;
    };

    job_leader(event_loop& loop, infrastructure::coordination_store& store,
               const leader_settings& settings, const leadership& acquired, handlers callbacks);
    job_leader(const job_leader&) = delete;
    job_leader& operator=(const job_leader&) = delete;
    job_leader(job_leader&&) = delete;
    job_leader& operator=(job_leader&&) = delete;
    ~job_leader() = default;

    epoch_number epoch() const { return leadership_.epoch; }

    /// Whether the stored jobs have been loaded.
    bool is_serving() const { return serving_; }

    void set_operator_state(const operator_config& config, std::set<failure_domain_name> closed);

    /// As `job_scheduler::confirm_closed_domains`.
    void confirm_closed_domains(boot_time time) { scheduler_.confirm_closed_domains(time); }

    /// As `job_scheduler::confirm_leadership`; extends all permissions at once when the last
    /// confirmation was long ago.
    void confirm_leadership(boot_time time);

    void agent_connected(const vm_name& name, incarnation_number incarnation);

    /// The newest connection to the VM's agent has closed.
    void agent_disconnected(const vm_name& name) { scheduler_.agent_disconnected(name); }

    void apply_report(const vm_report& report);
    void add_job(const job_spec& job);
    void cancel_job(const job_id& id);

    /// Nothing when the job is not known. Until `is_serving`, stored jobs may still be unknown.
    std::optional<job_state> state_of(const job_id& id) const {
        return scheduler_.visible_state(id);
    }

    std::size_t pending(const std::string& queue) const { return scheduler_.pending(queue); }

    const job_scheduler& scheduler() const { return scheduler_; }

    /// Account of the memory for jobs, of which any entry that may lead has `limit` bytes.
    wire::job_memory job_memory(std::size_t limit) const;

private:
    void apply_job_change(const infrastructure::store_item& item);
    void handle_jobs_listed();
    void load_progress();
    void load_vms();
    void start_serving();
    void retry(std::function<void()> step);
    void register_vm(const vm_name& name);
    void request_pass();
    void run_pass();
    void send_orders(const vm_name& name);
    void store_progress();
    void
    handle_commit_result(const progress_batch& batch,
                         std::variant<infrastructure::store_commit, infrastructure::store_conflict,
                                      infrastructure::store_error>&& result);
    /// Logs the jobs whose records are reduced, and fails those whose records are too large.
    void report_large_records(const progress_batch& batch);
    void handle_conflict(const infrastructure::store_conflict& conflict);
    /// While the store does not confirm this leader, asks some agents to read who leads.
    void verify_leadership();
    void remove_expired();
    void remove_idle_vms();
    /// Stores which VMs of earlier leaders this one has not heard from, so that a later leader
    /// counts their permissions from the earlier ones.
    void mark_silent_vms();
    void handle_silent_vms_marked(
        const std::vector<vm_name>& silent,
        const std::variant<infrastructure::store_commit, infrastructure::store_conflict,
                           infrastructure::store_error>& result);
    /// When all permissions that were given to the VM have ended. `registration` is the value that
    /// is stored for the VM.
    boot_time permissions_bound(const std::string& registration) const;

    event_loop& loop_;
    infrastructure::coordination_store& store_;
    leader_settings settings_;
    leadership leadership_;
    handlers handlers_;
    job_scheduler scheduler_;
    bool serving_{false};
    /// Whether loading progress and VMs has begun.
    bool loading_{false};
    bool pass_requested_{false};
    /// Whether a write of progress is in flight.
    bool storing_{false};
    boot_time store_not_before_{};
    progress_batcher batcher_;
    /// Revision of the stored progress of each job.
    std::map<job_id, revision_number> progress_revisions_;
    /// Expired jobs that may still be stored, because their removal has not been confirmed. An
    /// entry that finds such a job stored names it again, although it is not a new one.
    std::set<job_id> unremoved_;
    /// VMs whose registration is being written.
    std::set<vm_name> registering_;
    /// Revision of each VM's registration.
    std::map<vm_name, revision_number> vm_revisions_;
    /// VMs whose registration is being removed or marked; their reports are ignored until the store
    /// has answered.
    std::set<vm_name> updating_;
    /// VMs that may be marked in the store as not heard from; registered again before they are
    /// used.
    std::set<vm_name> silent_vms_;
    boot_time serving_since_{};
    /// VM whose agent was asked last to read who leads.
    vm_name last_verifier_;
    /// Last report of each VM that arrived while the stored jobs were being loaded.
    std::map<vm_name, vm_report> early_reports_;
    /// Sequence number of the report that the next orders for each VM answer; zero when the orders
    /// only carry acknowledgements.
    std::map<vm_name, std::uint64_t> unanswered_reports_;
    /// Number of the last acknowledged run end that was sent to each VM.
    std::map<vm_name, std::uint64_t> acknowledgements_sent_;
    prefix_view jobs_;
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile::daemon
