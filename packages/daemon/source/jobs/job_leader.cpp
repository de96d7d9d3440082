#include "jobs/job_leader.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/core/job/image_separating_placer.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

constexpr milliseconds commit_timeout{1000};
constexpr milliseconds retry_delay{200};
/// Longest delay of decisions that depend on time, such as those on lapsed leases and on due
/// occurrences of jobs.
constexpr milliseconds tick_interval{100};
/// A watch ends with the first change; one without changes is repeated after this time.
/// Short, because a cancellation must take effect within 3 s, even when the connection of the watch
/// has fallen silent.
constexpr milliseconds job_watch_wait{1000};
/// Longer than the usual time between two confirmations of the leadership.
constexpr milliseconds confirmation_gap{1000};
/// Time after which room is expected when no job is final.
constexpr milliseconds unknown_removal_time{10000};
/// Interval at which a leader that the store does not confirm has agents read who leads, and the
/// number of agents that it asks each time. Few, because the store may be overloaded.
constexpr milliseconds verification_interval{500};
constexpr std::size_t verifying_agents = 8;
constexpr milliseconds expired_job_removal_interval{5000};
constexpr milliseconds idle_vm_removal_interval{1000};
/// Time for the agents to find a new leader, after which those that have not are stored as silent.
constexpr milliseconds agent_arrival_time{1000};
/// A transaction has one condition on the epoch, and one condition and one removal for each VM.
constexpr std::size_t idle_vms_per_commit = (max_transaction_entries - 1) / 2;
/// A transaction has one condition on the epoch, and three removals for each expired job.
constexpr std::size_t expired_jobs_per_commit = 10;

/// Text such as "3x500m200msfa2" for a step of three tasks that each need 500 millicores and are
/// estimated to run for 200 ms. Letters for properties that matter for placement follow: f fills
/// idle CPU, l long-running, t with a target latency, s speculative, g gang, aN at most N per VM.
std::string summary_of(const step_spec& step) {
    return std::to_string(step.count) + "x" + std::to_string(step.need.cpu_millicores) + "m" +
           std::to_string(step.estimate_ms) + "ms" + (step.fills_idle_cpu ? "f" : "") +
           (step.long_running ? "l" : "") + (step.target_latency_ms > 0 ? "t" : "") +
           (step.speculative ? "s" : "") + (step.gang ? "g" : "") +
           (step.max_per_vm > 0 ? "a" + std::to_string(step.max_per_vm) : "");
}

std::string summary_of(const job_spec& job) {
    std::string text;
    for (const step_spec& step : job.steps) {
        text += (text.empty() ? "" : ",") + summary_of(step);
    }
    return text;
}

void log_load_failure(const std::string& prefix, store_error error) {
    write_log(log_part::leader, log_level::warning, "Cannot load the stored keys; retrying.",
              "prefix=" + prefix + " reason=" + std::string(name_of(store_error_names, error)));
}

bool ends_with(const std::string& text, const std::string& end) {
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

std::unique_ptr<task_placer> make_placer(const scheduler_settings& settings) {
    if (settings.place_by_contention) {
        return std::make_unique<image_separating_placer>();
    }
    return std::make_unique<separating_placer>();
}

} // namespace

job_leader::job_leader(event_loop& loop, coordination_store& store, const leader_settings& settings,
                       const leadership& acquired, handlers callbacks)
    : loop_(loop)
    , store_(store)
    , settings_(settings)
    , leadership_(acquired)
    , handlers_(std::move(callbacks))
    , scheduler_(settings.scheduler, acquired.epoch, make_placer(settings.scheduler),
                 [this](const decision& made) {
                     handlers_.on_decision(made.kind);
                     write_log(log_part::leader, log_level::info,
                               std::string(name_of(decision_messages, made.kind)), made.fields);
                 })
    , batcher_(settings.max_value_bytes)
    , jobs_(loop, store, store_keys::job_prefix, job_watch_wait, view_confirmation::watches,
            {[this](const store_item& item) { apply_job_change(item); },
             [this] { handle_jobs_listed(); }}) {
    scheduler_.confirm_leadership(acquired.confirmed_at);
    const std::weak_ptr<int> alive = alive_;
    loop_.call_every(tick_interval, [this, alive] {
        if (!alive.expired()) {
            request_pass();
        }
    });
    loop_.call_every(verification_interval, [this, alive] {
        if (!alive.expired()) {
            verify_leadership();
        }
    });
    loop_.call_every(expired_job_removal_interval, [this, alive] {
        if (!alive.expired()) {
            remove_expired();
        }
    });
    loop_.call_every(idle_vm_removal_interval, [this, alive] {
        if (!alive.expired()) {
            remove_idle_vms();
            mark_silent_vms();
        }
    });
    jobs_.start();
}

void job_leader::set_operator_state(const operator_config& config,
                                    std::set<failure_domain_name> closed) {
    scheduler_.set_config(config);
    scheduler_.set_closed_domains(std::move(closed));
    request_pass();
}

void job_leader::confirm_leadership(boot_time time) {
    const bool after_gap = time >= scheduler_.leadership_confirmed_at() + confirmation_gap;
    scheduler_.confirm_leadership(time);
    if (!after_gap) {
        return;
    }
    // Extends the permissions that have shortened meanwhile without waiting for further reports.
    for (const auto& [name, vm] : scheduler_.vms()) {
        unanswered_reports_.try_emplace(name, vm.last_report);
    }
    request_pass();
}

void job_leader::apply_job_change(const store_item& item) {
    if (item.revision == 0) {
        return; // Jobs are only removed by this leader itself, when they have expired.
    }
    const std::string name = item.key.substr(store_keys::job_prefix.size());
    if (ends_with(name, store_keys::cancelled_suffix)) {
        // A key sorts before the keys of which it is a prefix, so the job has been added before.
        cancel_job(name.substr(0, name.size() - store_keys::cancelled_suffix.size()));
        return;
    }
    std::optional<job_spec> job = wire::decode_job_spec(item.value);
    if (!job) {
        write_log(log_part::leader, log_level::error, "Cannot decode a stored job.",
                  "key=" + item.key);
        return;
    }
    // A changed key shows that the job was removed and submitted anew.
    unremoved_.erase(job->id);
    add_job(*job);
}

void job_leader::handle_jobs_listed() {
    if (!serving_ && !std::exchange(loading_, true)) {
        load_progress();
    }
}

void job_leader::load_progress() {
    const std::weak_ptr<int> alive = alive_;
    list_all(store_, store_keys::progress_prefix,
             [this, alive](std::variant<std::vector<store_item>, store_error>&& result) {
                 if (alive.expired()) {
                     return;
                 }
                 if (const store_error* const error = std::get_if<store_error>(&result)) {
                     log_load_failure(store_keys::progress_prefix, *error);
                     retry([this] { load_progress(); });
                     return;
                 }
                 for (const store_item& item : std::get<std::vector<store_item>>(result)) {
                     const job_id id = item.key.substr(store_keys::progress_prefix.size());
                     progress_revisions_[id] = item.revision;
                     if (const std::optional<job_progress> progress =
                             wire::decode_job_progress(item.value)) {
                         scheduler_.restore_progress(id, *progress, boot_now());
                     }
                 }
                 load_vms();
             });
}

void job_leader::load_vms() {
    const std::weak_ptr<int> alive = alive_;
    list_all(store_, store_keys::vm_prefix,
             [this, alive](std::variant<std::vector<store_item>, store_error>&& result) {
                 if (alive.expired()) {
                     return;
                 }
                 if (const store_error* const error = std::get_if<store_error>(&result)) {
                     log_load_failure(store_keys::vm_prefix, *error);
                     retry([this] { load_vms(); });
                     return;
                 }
                 for (const store_item& item : std::get<std::vector<store_item>>(result)) {
                     const vm_name name = item.key.substr(store_keys::vm_prefix.size());
                     vm_revisions_[name] = item.revision;
                     if (!item.value.empty()) {
                         silent_vms_.insert(name);
                     }
                     scheduler_.expect_vm(name, permissions_bound(item.value));
                 }
                 start_serving();
             });
}

boot_time job_leader::permissions_bound(const std::string& registration) const {
    const scheduler_settings& timing = settings_.scheduler;
    boot_time until = leadership_.earlier_permissions_until;
    const epoch_number silent_since = parse_epoch(registration);
    // All leaders before that epoch had ended when it, or a later one, was first seen.
    const auto seen = leadership_.epochs_seen.lower_bound(silent_since);
    if (silent_since != 0 && seen != leadership_.epochs_seen.end()) {
        until = std::min(until, seen->second + timing.permission_term);
    }
    return until +
           std::chrono::duration_cast<milliseconds>(timing.permission_term * timing.clock_drift) +
           timing.lapse_margin;
}

void job_leader::retry(std::function<void()> step) {
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + retry_delay, [alive, step = std::move(step)] {
        if (!alive.expired()) {
            step();
        }
    });
}

void job_leader::start_serving() {
    serving_ = true;
    serving_since_ = boot_now();
    write_log(log_part::leader, log_level::info, "Loaded the stored jobs.",
              "epoch=" + std::to_string(epoch()) +
                  " jobs=" + std::to_string(scheduler_.job_count()) +
                  " vms=" + std::to_string(scheduler_.vms().size()));
    // Early reports are not dropped, because a VM that is about to leave may not report again.
    for (const auto& [name, report] : std::exchange(early_reports_, {})) {
        apply_report(report);
    }
    request_pass();
}

void job_leader::agent_connected(const vm_name& name, incarnation_number incarnation) {
    early_reports_.erase(name);
    scheduler_.agent_connected(name, incarnation);
}

void job_leader::apply_report(const vm_report& report) {
    if (report.epoch > epoch()) {
        handlers_.on_later_epoch();
        return;
    }
    if (!serving_) {
        early_reports_[report.vm] = report;
        return;
    }
    if (updating_.count(report.vm) != 0) {
        return;
    }
    if (!scheduler_.is_registered(report.vm)) {
        if (report.has_runner_ended()) {
            // No task can start there, so the VM is not registered. The orders only make the agent
            // follow this leader.
            handlers_.send(report.vm, scheduler_.take_orders(report.vm, 0));
        } else {
            register_vm(report.vm);
        }
        return;
    }
    if (silent_vms_.count(report.vm) != 0 && !report.has_runner_ended()) {
        register_vm(report.vm);
        return;
    }
    if (report.epoch < epoch()) {
        // The agent first has to adopt this epoch, so that it no longer follows an earlier leader.
        handlers_.send(report.vm, scheduler_.take_orders(report.vm, 0));
        return;
    }
    if (scheduler_.apply_report(report, boot_now())) {
        unanswered_reports_[report.vm] = report.sequence;
    } else {
        handlers_.send(report.vm, scheduler_.take_orders(report.vm, 0));
    }
    request_pass();
}

void job_leader::register_vm(const vm_name& name) {
    if (!registering_.insert(name).second) {
        return;
    }
    // A later leader must find every VM on which this one may have started tasks.
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_.epoch_revision}};
    transaction.writes = {{store_keys::vm(name), "", no_lease}};
    const std::weak_ptr<int> alive = alive_;
    store_.commit(
        transaction, commit_timeout,
        [this, alive, name](std::variant<store_commit, store_conflict, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            registering_.erase(name);
            if (const store_commit* const commit = std::get_if<store_commit>(&result)) {
                vm_revisions_[name] = commit->revision;
                silent_vms_.erase(name);
                write_log(log_part::leader, log_level::info, "Registered a VM.", "vm=" + name);
                scheduler_.register_vm(name);
                handlers_.send(name, scheduler_.take_orders(name, 0));
            } else if (std::holds_alternative<store_conflict>(result)) {
                handlers_.on_later_epoch();
            }
        });
}

void job_leader::add_job(const job_spec& job) {
    if (job.accepted_epoch > epoch()) {
        // The later leader starts this job without waiting for this one.
        handlers_.on_later_epoch();
        return;
    }
    if (unremoved_.count(job.id) != 0) {
        return;
    }
    if (!scheduler_.has_job(job.id)) {
        write_log(log_part::leader, log_level::info, "Added a job.",
                  "job=" + job.id + " queue=" + job.queue + " priority=" +
                      std::to_string(job.policy.priority) + " steps=" + summary_of(job));
        scheduler_.add_job(job);
        request_pass();
    }
}

void job_leader::cancel_job(const job_id& id) {
    scheduler_.cancel_job(id);
    request_pass();
}

wire::job_memory job_leader::job_memory(std::size_t limit) const {
    const job_table& jobs = scheduler_.jobs();
    const boot_time now = boot_now();
    const boot_time removal =
        jobs.next_removal(settings_.scheduler.final_retention).value_or(now + unknown_removal_time);
    wire::job_memory account;
    account.free_bytes =
        static_cast<std::int64_t>(limit) - static_cast<std::int64_t>(jobs.memory_bytes());
    account.room_in_ms =
        std::chrono::duration_cast<milliseconds>(std::max(removal, now) - now).count();
    return account;
}

void job_leader::request_pass() {
    if (!serving_ || std::exchange(pass_requested_, true)) {
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    loop_.call_at(boot_now() + settings_.pass_interval, [this, alive] {
        if (!alive.expired()) {
            run_pass();
        }
    });
}

void job_leader::run_pass() {
    pass_requested_ = false;
    scheduler_.schedule(boot_now(), wall_now_ms());
    for (const vm_name& name : scheduler_.vms_with_orders()) {
        send_orders(name);
    }
    const std::map<vm_name, std::uint64_t> unanswered = unanswered_reports_;
    for (const auto& [name, report] : unanswered) {
        send_orders(name);
    }
    store_progress();
}

void job_leader::send_orders(const vm_name& name) {
    const auto report = unanswered_reports_.find(name);
    const std::uint64_t answered = report == unanswered_reports_.end() ? 0 : report->second;
    if (report != unanswered_reports_.end()) {
        unanswered_reports_.erase(report);
    }
    const vm_orders orders = scheduler_.take_orders(name, answered);
    acknowledgements_sent_[name] = orders.acknowledged_ends;
    handlers_.send(name, orders);
}

void job_leader::store_progress() {
    const boot_time now = boot_now();
    if (storing_ || now < store_not_before_) {
        return;
    }
    progress_batch batch = batcher_.next(scheduler_.changed_jobs(scheduler_.job_count()), now);
    report_large_records(batch);
    if (batch.entries.empty()) {
        return;
    }
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_.epoch_revision}};
    for (progress_batch::entry& entry : batch.entries) {
        const std::string key = store_keys::progress(entry.id);
        // The expected revision keeps a write whose answer was lost from taking effect after a
        // later one.
        transaction.expected.push_back({key, progress_revisions_[entry.id]});
        transaction.writes.push_back({key, std::move(entry.record), no_lease});
    }
    storing_ = true;
    store_not_before_ = now + settings_.commit_interval;
    const std::weak_ptr<int> alive = alive_;
    store_.commit(transaction, commit_timeout,
                  [this, alive, batch = std::move(batch)](
                      std::variant<store_commit, store_conflict, store_error>&& result) {
                      if (!alive.expired()) {
                          handle_commit_result(batch, std::move(result));
                      }
                  });
}

void job_leader::report_large_records(const progress_batch& batch) {
    for (const job_id& id : batch.reduced) {
        handlers_.on_decision(decision_kind::resume_points_left_out);
        write_log(log_part::leader, log_level::warning,
                  std::string(name_of(decision_messages, decision_kind::resume_points_left_out)),
                  "job=" + id + " max_bytes=" + std::to_string(settings_.max_value_bytes));
    }
    for (const job_id& id : batch.too_large) {
        scheduler_.fail_job(id, "progress_too_large", boot_now());
        batcher_.forget(id);
        request_pass();
    }
}

void job_leader::handle_commit_result(
    const progress_batch& batch, std::variant<store_commit, store_conflict, store_error>&& result) {
    storing_ = false;
    const boot_time now = boot_now();
    if (const store_commit* const commit = std::get_if<store_commit>(&result)) {
        batcher_.note_stored(batch);
        for (const progress_batch::entry& entry : batch.entries) {
            progress_revisions_[entry.id] = commit->revision;
            scheduler_.mark_stored(entry.id, entry.version, now);
        }
        // The next pass sends the new acknowledgements, even to VMs without other orders.
        for (const auto& [name, vm] : scheduler_.vms()) {
            if (vm.acknowledged_end > acknowledgements_sent_[name]) {
                unanswered_reports_.try_emplace(name, 0);
            }
        }
        request_pass();
        return;
    }
    if (const store_conflict* const conflict = std::get_if<store_conflict>(&result)) {
        handle_conflict(*conflict);
    } else {
        const store_error error = std::get<store_error>(result);
        if (error == store_error::rejected) {
            batcher_.note_rejected(batch, now);
        }
        std::size_t bytes = 0;
        for (const progress_batch::entry& entry : batch.entries) {
            bytes += entry.bytes;
        }
        write_log(log_part::leader, log_level::warning, "Cannot store the progress of jobs.",
                  "jobs=" + std::to_string(batch.entries.size()) +
                      " first_job=" + batch.entries.front().id + " bytes=" + std::to_string(bytes) +
                      " reason=" + std::string(name_of(store_error_names, error)));
    }
    store_not_before_ = now + retry_delay;
}

void job_leader::handle_conflict(const store_conflict& conflict) {
    std::map<std::string, revision_number> present;
    for (const store_item& item : conflict.items) {
        present[item.key] = item.revision;
    }
    const auto epoch_key = present.find(store_keys::epoch);
    if (epoch_key == present.end() || epoch_key->second != leadership_.epoch_revision) {
        handlers_.on_later_epoch();
        return;
    }
    // An earlier write took effect although its answer was lost; its revisions are adopted.
    for (auto& [id, revision] : progress_revisions_) {
        const auto found = present.find(store_keys::progress(id));
        if (found != present.end()) {
            revision = found->second;
        }
    }
}

void job_leader::verify_leadership() {
    const vm_table& vms = scheduler_.vms();
    if (vms.empty() || boot_now() < scheduler_.leadership_confirmed_at() + confirmation_gap) {
        return;
    }
    std::size_t asked = 0;
    auto vm = vms.upper_bound(last_verifier_);
    for (std::size_t looked_at = 0; looked_at < vms.size() && asked < verifying_agents;
         ++looked_at, ++vm) {
        vm = vm == vms.end() ? vms.begin() : vm;
        if (handlers_.send(vm->first, wire::verify_leader{epoch()})) {
            last_verifier_ = vm->first;
            ++asked;
        }
    }
}

void job_leader::remove_idle_vms() {
    if (!serving_ || !updating_.empty()) {
        return;
    }
    std::vector<vm_name> idle = scheduler_.idle_vms(boot_now());
    idle.resize(std::min(idle.size(), idle_vms_per_commit));
    if (idle.empty()) {
        return;
    }
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_.epoch_revision}};
    for (const vm_name& name : idle) {
        // The expected revision keeps a removal whose answer was lost from undoing a later
        // registration.
        transaction.expected.push_back({store_keys::vm(name), vm_revisions_[name]});
        transaction.removals.push_back(store_keys::vm(name));
        updating_.insert(name);
    }
    const std::weak_ptr<int> alive = alive_;
    store_.commit(
        transaction, commit_timeout,
        [this, alive, idle](std::variant<store_commit, store_conflict, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            updating_.clear();
            // The VMs are also removed after a lost answer. That is safe even if they are still
            // stored, because a VM is registered again before it is used.
            const store_error* const error = std::get_if<store_error>(&result);
            const bool unchanged = error != nullptr && *error != store_error::no_answer;
            if (const store_conflict* const conflict = std::get_if<store_conflict>(&result)) {
                // A mark whose answer was lost has changed the registration.
                for (const vm_name& name : idle) {
                    const store_item* const item = find_item(*conflict, store_keys::vm(name));
                    if (item != nullptr) {
                        vm_revisions_[name] = item->revision;
                    }
                }
                return;
            }
            if (unchanged) {
                return;
            }
            for (const vm_name& name : idle) {
                write_log(log_part::leader, log_level::info, "Removed an idle VM.", "vm=" + name);
                scheduler_.remove_vm(name);
                silent_vms_.erase(name);
            }
        });
}

void job_leader::mark_silent_vms() {
    if (!serving_ || !updating_.empty() || boot_now() < serving_since_ + agent_arrival_time) {
        return;
    }
    std::vector<vm_name> silent;
    for (const vm_name& name : scheduler_.expected_vms()) {
        if (silent_vms_.count(name) == 0 && silent.size() < idle_vms_per_commit) {
            silent.push_back(name);
        }
    }
    if (silent.empty()) {
        return;
    }
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_.epoch_revision}};
    for (const vm_name& name : silent) {
        transaction.expected.push_back({store_keys::vm(name), vm_revisions_[name]});
        transaction.writes.push_back({store_keys::vm(name), std::to_string(epoch()), no_lease});
        updating_.insert(name);
    }
    const std::weak_ptr<int> alive = alive_;
    store_.commit(
        transaction, commit_timeout,
        [this, alive, silent](std::variant<store_commit, store_conflict, store_error>&& result) {
            if (!alive.expired()) {
                handle_silent_vms_marked(silent, result);
            }
        });
}

void job_leader::handle_silent_vms_marked(
    const std::vector<vm_name>& silent,
    const std::variant<store_commit, store_conflict, store_error>& result) {
    updating_.clear();
    if (const store_conflict* const conflict = std::get_if<store_conflict>(&result)) {
        const store_item* const stored_epoch = find_item(*conflict, store_keys::epoch);
        if (stored_epoch == nullptr || stored_epoch->revision != leadership_.epoch_revision) {
            handlers_.on_later_epoch();
            return;
        }
    }
    const store_error* const error = std::get_if<store_error>(&result);
    if (error != nullptr) {
        write_log(log_part::leader, log_level::warning, "Cannot store which VMs are silent.",
                  "vms=" + std::to_string(silent.size()) +
                      " reason=" + std::string(name_of(store_error_names, *error)));
        if (*error != store_error::no_answer) {
            return;
        }
    }
    const store_commit* const commit = std::get_if<store_commit>(&result);
    for (const vm_name& name : silent) {
        // After a lost answer or a conflict the mark may be stored.
        silent_vms_.insert(name);
        if (commit != nullptr) {
            vm_revisions_[name] = commit->revision;
            write_log(log_part::leader, log_level::info, "A VM has not reported yet.",
                      "vm=" + name);
        }
    }
}

void job_leader::remove_expired() {
    if (!serving_) {
        return;
    }
    const std::vector<job_id> expired =
        scheduler_.take_expired(boot_now(), expired_jobs_per_commit);
    if (expired.empty()) {
        return;
    }
    store_transaction transaction;
    transaction.expected = {{store_keys::epoch, leadership_.epoch_revision}};
    for (const job_id& id : expired) {
        transaction.removals.push_back(store_keys::job(id));
        transaction.removals.push_back(store_keys::cancellation(id));
        transaction.removals.push_back(store_keys::progress(id));
        progress_revisions_.erase(id);
        batcher_.forget(id);
        unremoved_.insert(id);
    }
    const std::weak_ptr<int> alive = alive_;
    store_.commit(
        transaction, commit_timeout,
        [this, alive, expired](std::variant<store_commit, store_conflict, store_error>&& result) {
            if (alive.expired()) {
                return;
            }
            if (std::holds_alternative<store_commit>(result)) {
                for (const job_id& id : expired) {
                    unremoved_.erase(id);
                }
                if (expired.size() == expired_jobs_per_commit) {
                    remove_expired(); // More may be waiting.
                }
                return;
            }
            // A job whose removal failed is removed by a later leader.
            const store_error* const error = std::get_if<store_error>(&result);
            write_log(log_part::leader, log_level::warning, "Cannot remove expired jobs.",
                      "jobs=" + std::to_string(expired.size()) + " reason=" +
                          (error == nullptr ? std::string("conflict")
                                            : std::string(name_of(store_error_names, *error))));
        });
}

} // namespace egretstile::daemon
