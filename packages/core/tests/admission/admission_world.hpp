#pragma once

#include "model_owners.hpp"
#include "model_worker.hpp"

#include <egretstile/core/admission/admission_controller.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::testing {

/// How often things happened; shows that a random test reached the states it is about.
struct world_counts {
    std::size_t starts{0};
    std::size_t refusals{0};
    std::size_t unknown_starts{0};
    std::size_t suspends{0};
    std::size_t resumes{0};
    std::size_t taken_over{0};
    std::size_t expired{0};
    std::size_t stale_epochs{0};
};

/// One agent's admission controller between a model of its worker and a model of the entries. Each
/// step is one event: a message or call is sent, arrives, is answered or is lost, time passes, or
/// something fails. After each step the world checks its invariants against its own record of
/// grants.
class admission_world {
public:
    explicit admission_world(world_counts& counts);

    /// Carries out the step that the number stands for.
    void step(std::uint32_t number);

    /// Lets everything work again and checks that the agent and the worker agree in the end.
    void settle();

    /// The first broken invariant; empty when there is none.
    const std::string& violation() const { return violation_; }

private:
    struct worker_call {
        incarnation_number incarnation{0};
        std::optional<worker_start> start;
        worker_action action;
        /// Set when the worker has carried it out.
        std::optional<call_result> result;
        /// The agent has given up waiting.
        bool abandoned{false};
    };

    struct status_call {
        boot_time sent_at;
        std::optional<worker_status> answer;
    };

    void entry_step(std::uint32_t kind, std::size_t a, std::size_t b);
    void worker_step(std::uint32_t kind, std::size_t a);
    void fault_step(std::uint32_t kind, std::size_t a, std::size_t b);
    void rare_step(std::size_t a, std::size_t b);
    void advance(milliseconds duration);
    void heartbeat(std::size_t entry);
    void answer_heartbeat(bool former_grants);
    void deliver_reply(std::size_t index);
    void note_grants(const model_reply& reply);
    void exchange(std::size_t entry);
    void send_start(std::size_t task);
    /// The failure domain goes out and the entry's confirmation of the plan grows old.
    void age_plan(std::size_t entry, milliseconds beyond_bound);
    void start_normally(std::size_t task);
    void deliver_start(std::size_t index, bool answer_lost);
    void start_admitted_by_agent(const start_request& request, const worker_start& call);
    void start_refused_by_agent(const task_run& run, refusal reason, bool answer_lost);
    void note_refused(const task_run& run);
    void stop(std::size_t task, bool take_checkpoint);
    void act();
    void call_reaches_worker(std::size_t index);
    void call_answered(std::size_t index);
    void call_times_out(std::size_t index);
    void finish_calls();
    void tell_agent(const worker_call& call, call_result result);
    void send_status();
    void status_reaches_worker();
    void status_answered(std::size_t index);
    void poll();
    void end_program(std::size_t index, run_phase phase);
    void restart_agent();
    void restart_worker();

    bool accept_epoch(shard_number shard, epoch_number epoch);
    void require(bool holds, const std::string& what, const task_run& run);
    void check();
    void check_worker_run(const worker_run& run);
    void check_reports();
    void check_settled();

    lease_terms terms_;
    boot_time now_{std::chrono::seconds(1000)};
    incarnation_number incarnation_{1};
    admission_controller agent_;
    model_worker worker_;
    model_owners owners_;
    std::vector<model_heartbeat> heartbeats_;
    std::vector<model_reply> replies_;
    std::vector<start_request> starts_;
    std::vector<worker_call> calls_;
    std::vector<status_call> statuses_;
    /// The world's own record, not taken from the agent.
    std::map<std::uint64_t, boot_time> sent_at_;
    std::map<shard_number, epoch_number> epochs_;
    std::map<task_run, boot_time> grant_end_;
    std::set<task_run> refused_;
    std::set<task_run> admitted_;
    std::string violation_;
    world_counts* counts_;
};

} // namespace egretstile::testing
