#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/task/task.hpp>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace egretstile::testing {

/// Order of runs. The generated operator of `task_run` makes clang-tidy 14 report
/// modernize-use-nullptr where it is instantiated.
struct run_order {
    bool operator()(const task_run& left, const task_run& right) const {
        return std::tie(left.key, left.attempt) < std::tie(right.key, right.attempt);
    }
};

/// What has executed at the workers of a modelled run; records the first violation of a guarantee.
class execution_history {
public:
    void violate(const std::string& what) {
        if (violation_.empty()) {
            violation_ = what;
        }
    }

    const std::string& violation() const { return violation_; }

    bool succeeded(const task_key& key) const { return succeeded_.contains(key); }

    /// A worker begins to execute the run. `executes_elsewhere`: another run of the task executes
    /// at this moment.
    void begin(const task_run& run, bool idempotent, const std::string& checkpoint,
               bool executes_elsewhere);

    /// A worker executes the run again in place, after a suspension.
    void resume(const task_run& run, bool executes_elsewhere);

    /// The worker confirmed the end of the run. The other ends need no call.
    void end(const task_run& run, run_phase phase, const std::string& checkpoint);

private:
    struct last_run {
        /// Whether the run ended with a checkpoint of its stop that no later run resumed from.
        bool resumable{false};
        std::string checkpoint;
    };

    std::string violation_;
    std::map<task_key, last_run> last_;
    std::set<task_run, run_order> begun_;
    std::set<task_key> succeeded_;
};

} // namespace egretstile::testing
