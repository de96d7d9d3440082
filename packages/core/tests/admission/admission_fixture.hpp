#pragma once

#include <egretstile/core/admission/admission_controller.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace egretstile::testing {

/// An agent with its entry and its worker, driven by hand. Shard 1 with epoch 1 belongs to
/// "entry-a", and the VM has 4 processors.
class admission_fixture {
public:
    static constexpr incarnation_number incarnation = 7;

    boot_time now{std::chrono::seconds(1000)};
    lease_terms terms;
    admission_controller agent{incarnation, terms};
    worker_status worker{"boot-1", "rack-1", {4000, 8000, 1}, incarnation, {}};
    /// What the entry answers, besides the sequence number.
    owner_reply answer{"entry-a", 0, true, 5, milliseconds(0), true, false, {{1, 1}}, {}, {}};

    void advance(milliseconds duration) { now += duration; }

    /// A status call that is answered at once, with the runs of `worker`.
    void observe() {
        advance(milliseconds(1));
        agent.worker_observed(worker, now, now);
    }

    std::uint64_t beat() { return agent.heartbeat_sent(answer.entry, now); }

    void reply(std::uint64_t sequence) {
        answer.sequence = sequence;
        agent.reply_received(answer, now);
    }

    /// A heartbeat that is answered at once; gives its number.
    std::uint64_t exchange() {
        const std::uint64_t sequence = beat();
        reply(sequence);
        return sequence;
    }

    void make_ready() {
        observe();
        exchange();
    }

    /// A start that names a heartbeat answered just now.
    start_request start(const std::string& key, attempt_number attempt = 1,
                        resources need = {1000, 1000, 0}) {
        start_request request;
        request.entry = answer.entry;
        request.shard = 1;
        request.epoch = 1;
        request.spec.key = key;
        request.spec.need = need;
        request.attempt = attempt;
        request.incarnation = incarnation;
        request.heartbeat_sequence = exchange();
        return request;
    }

    /// Starts the run, on the worker too.
    void run(const std::string& key, attempt_number attempt = 1, resources need = {1000, 1000, 0}) {
        const start_request request = start(key, attempt, need);
        const worker_start call = std::get<start_admitted>(agent.request_start(request, now)).call;
        agent.start_finished(call.run, call_result::done, now);
        worker.runs.push_back(listed(call));
    }

    static worker_run listed(const worker_start& call) {
        worker_run result;
        result.run = call.run;
        result.shard = call.shard;
        result.need = call.spec.need;
        result.lease_until = call.lease_until;
        return result;
    }

    /// Gives the due calls and answers them all with `result`.
    std::vector<worker_action> act(call_result result = call_result::done,
                                   const std::string& checkpoint = "") {
        std::vector<worker_action> actions = agent.due_actions(now);
        for (const worker_action& action : actions) {
            agent.action_finished(action, result, checkpoint, now);
        }
        return actions;
    }

    /// Kinds of the due calls, all of which are done.
    std::vector<worker_action_kind> act_kinds() {
        std::vector<worker_action_kind> kinds;
        for (const worker_action& action : act()) {
            kinds.push_back(action.kind);
        }
        return kinds;
    }

    std::vector<run_report> reports() const { return agent.reports(); }

    /// Phase of the only run that is reported; precondition: there is exactly one.
    run_phase only_phase() const { return agent.reports().at(0).phase; }
};

inline refusal refusal_of(const start_decision& decision) {
    const auto* const refused = std::get_if<start_refused>(&decision);
    return refused == nullptr ? refusal::none : refused->reason;
}

inline bool is_admitted(const start_decision& decision) {
    return std::holds_alternative<start_admitted>(decision);
}

/// Phase that the answer to a duplicate names; `refused` when the start was refused.
inline run_phase known_phase(const start_decision& decision) {
    const auto* const known = std::get_if<start_known>(&decision);
    return known == nullptr ? run_phase::refused : known->report.phase;
}

} // namespace egretstile::testing
