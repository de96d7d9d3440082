#pragma once

#include "registry.hpp"
#include "soak_plan.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace egretstile::soak {

struct soak_result {
    std::size_t accepted{0};
    std::size_t refused{0};
    /// Jobs whose submission had no clear answer.
    std::size_t unknown{0};
    std::size_t cancelled{0};
    std::size_t starts{0};
    /// How long the last job took after the end of the faults.
    milliseconds settling{0};
    std::vector<std::string> violations;
};

/// One run of a plan on a deployment of real processes. Use it on one thread, which has to be the
/// one that created it, and once.
class soak_run {
public:
    /// Starts the deployment. Throws std::exception when it does not get ready.
    soak_run(const soak_options& options, const soak_plan& plan);
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;
    soak_run(soak_run&&) = delete;
    soak_run& operator=(soak_run&&) = delete;

    ~soak_run() { ended_ = true; }

    /// Takes the time of the plan and up to 60 s more.
    soak_result run();

private:
    enum class answer : std::uint8_t { none, unknown, accepted, refused };

    struct job_view {
        answer submission{answer::none};
        bool cancelled{false};
        /// Empty as long as no final state was shown.
        std::string final_state;
        /// Whether another state after the final one was reported.
        bool is_reported{false};
    };

    milliseconds elapsed() const;
    /// Waits until the time, counted from the start of the run.
    void wait_for(milliseconds time) const;
    void play_faults();
    void begin(const fault& started);
    void end(const fault& ended);
    void make_claims(const fault& claimed);
    /// A terminated process must have ended with zero, if it has ended.
    void restart(const fault& ended);
    harness::process& process_of(const fault& injected);
    std::vector<bool>::reference is_away(const fault& injected);
    void on_runner(const fault& injected,
                   const std::function<void(platform::standins::runner&)>& function);
    /// Submits and cancels the jobs whose number modulo `callers` is `number`.
    void play_caller(std::size_t number);
    void submit(platform::standins::caller& calls, std::size_t number);
    /// Asks for states, of all jobs in turn, until the run has ended.
    void follow_jobs();
    void record_state(std::size_t job, std::size_t entry, const std::string& state);
    /// Checks what runners have seen so far.
    void check_history();
    void check_processes();
    void check_running(harness::process& checked, const std::string& name);
    bool all_complete();
    void check_completion();
    void check_refused_jobs();
    /// Precondition: the mutex is held.
    void report(const std::string& violation);

    soak_options options_;
    soak_plan plan_;
    platform::standins::registry registry_;
    std::chrono::steady_clock::time_point started_at_;
    std::atomic<bool> ended_{false};
    /// Faults in force that take a process away. Used on the main thread only.
    std::vector<bool> entries_away_;
    std::vector<bool> agents_away_;
    /// Processes whose unexpected end was reported.
    std::set<pid_t> reported_;
    std::size_t simultaneous_seen_{0};
    std::size_t repeated_seen_{0};
    std::mutex mutex_;
    std::vector<job_view> jobs_;
    std::vector<std::string> violations_;
    /// The last member, so that its threads end before what they use.
    std::vector<std::future<void>> threads_;
};

} // namespace egretstile::soak
