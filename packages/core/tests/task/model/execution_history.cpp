#include "task/model/execution_history.hpp"

namespace egretstile::testing {

namespace {

std::string name_of_run(const task_run& run) {
    return run.key + "#" + std::to_string(run.attempt);
}

} // namespace

void execution_history::begin(const task_run& run, bool idempotent, const std::string& checkpoint,
                              bool executes_elsewhere) {
    if (executes_elsewhere) {
        violate("run " + name_of_run(run) + " began while another one executed");
    }
    if (!begun_.insert(run).second) {
        violate("run " + name_of_run(run) + " executed twice");
    }
    if (succeeded(run.key) && !idempotent) {
        violate("run " + name_of_run(run) + " repeats a task that succeeded");
    }
    const std::map<task_key, last_run>::const_iterator last = last_.find(run.key);
    if (last != last_.end() && !idempotent &&
        (!last->second.resumable || last->second.checkpoint != checkpoint)) {
        violate("run " + name_of_run(run) + " repeats a run without a confirmed stop");
    }
    last_[run.key] = last_run{};
}

void execution_history::resume(const task_run& run, bool executes_elsewhere) {
    if (executes_elsewhere) {
        violate("run " + name_of_run(run) + " resumed while another one executed");
    }
}

void execution_history::end(const task_run& run, run_phase phase, const std::string& checkpoint) {
    if (phase == run_phase::succeeded) {
        succeeded_.insert(run.key);
    }
    last_[run.key] = {phase == run_phase::checkpointed, checkpoint};
}

} // namespace egretstile::testing
