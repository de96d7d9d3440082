#include "simulated_vms.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egretstile {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

enum class store_read : std::uint8_t { submission, cancellation, progress, expiry };

using read_order = std::array<store_read, 4>;

/// Ages of the leader's VM when it begins to read: less than the retention, just above it, and
/// large.
const std::vector<milliseconds> vm_ages{milliseconds(0), seconds(20), seconds(121), hours(10000)};

const milliseconds retention = scheduler_settings().final_retention;

std::vector<read_order> all_read_orders() {
    std::vector<read_order> orders;
    read_order order{store_read::submission, store_read::cancellation, store_read::progress,
                     store_read::expiry};
    do {
        orders.push_back(order);
    } while (std::next_permutation(order.begin(), order.end()));
    return orders;
}

/// Whether the job is read before what refers to it. The store gives no other order: a key sorts
/// before those of which it is a prefix, and the progress is listed after the jobs.
bool begins_with_submission(const read_order& order) {
    const auto position = [&order](store_read read) {
        return std::find(order.begin(), order.end(), read);
    };
    return position(store_read::submission) < position(store_read::cancellation) &&
           position(store_read::submission) < position(store_read::progress);
}

/// A job of two steps of one task each.
job_spec make_two_step_job() {
    job_spec job = make_plain_job("job", 1);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    return job;
}

/// Progress of the job whose first step is done.
job_progress half_done() {
    job_progress progress;
    progress.state = job_state::running;
    progress.tasks.resize(2);
    progress.tasks[0].done = true;
    return progress;
}

job_progress final_progress(job_state state) {
    job_progress progress;
    progress.state = state;
    return progress;
}

/// What a new leader can find stored for the job.
std::vector<std::optional<job_progress>> possible_progress() {
    return {std::nullopt, half_done(), final_progress(job_state::completed),
            final_progress(job_state::failed), final_progress(job_state::cancelled)};
}

/// A leader without VMs that reads a cancelled job. Its clock starts at the age of its VM.
class reading_leader {
public:
    reading_leader(milliseconds vm_age, std::optional<job_progress> progress)
        : scheduler({}, 1, std::make_unique<separating_placer>(), [](const decision&) {})
        , stored(std::move(progress))
        , time(vm_age) {}

    boot_time now() const { return boot_time(time); }

    void read(store_read what) {
        time += milliseconds(10);
        switch (what) {
        case store_read::submission:
            scheduler.add_job(make_two_step_job());
            return;
        case store_read::cancellation:
            scheduler.cancel_job("job");
            return;
        case store_read::progress:
            if (stored) {
                scheduler.restore_progress("job", *stored, now());
            }
            return;
        case store_read::expiry:
            CHECK(scheduler.take_expired(now(), 10).empty());
            return;
        }
    }

    void store_changes() {
        for (const job_entry* const job : scheduler.changed_jobs(10)) {
            stored = progress_of(*job);
            scheduler.mark_stored(job->spec.id, job->version, now());
        }
    }

    /// Number of jobs that expire within `length`.
    std::size_t count_expired(milliseconds length) {
        std::size_t expired = 0;
        for (milliseconds elapsed(0); elapsed < length; elapsed += milliseconds(1000)) {
            time += milliseconds(1000);
            expired += scheduler.take_expired(now(), 10).size();
        }
        return expired;
    }

    job_scheduler scheduler;
    /// The job's progress in the store.
    std::optional<job_progress> stored;
    milliseconds time;
};

std::string describe(const read_order& order) {
    const std::array<std::string, 4> names{"submission", "cancellation", "progress", "expiry"};
    std::string text;
    for (const store_read read : order) {
        text += " " + names.at(static_cast<std::size_t>(read));
    }
    return text;
}

// Guards against a cancelled job that a new leader removes at once, because it takes the unknown
// time at which the job became final for the boot of its VM.
TEST_CASE("a final state is kept for its retention in each order of the reads") {
    for (const milliseconds vm_age : vm_ages) {
        for (const std::optional<job_progress>& progress : possible_progress()) {
            for (const read_order& order : all_read_orders()) {
                const std::string state =
                    progress ? std::string(name_of(job_state_names, progress->state)) : "none";
                INFO("reads:" << describe(order) << ", stored progress: " << state
                              << ", age of the VM in ms: " << vm_age.count());
                reading_leader leader(vm_age, progress);
                for (const store_read read : order) {
                    leader.read(read);
                }
                // The store does not take writes at first.
                CHECK(leader.count_expired(seconds(5)) == 0);
                leader.store_changes();
                CHECK(leader.count_expired(retention - seconds(6)) == 0);
                CHECK(leader.scheduler.has_job("job"));
                if (!begins_with_submission(order)) {
                    continue;
                }
                const job_state expected =
                    progress && is_final(progress->state) ? progress->state : job_state::cancelled;
                CHECK(leader.scheduler.visible_state("job") == expected);
                // The next leader needs no other key to find the state.
                REQUIRE(leader.stored);
                CHECK(leader.stored->state == expected);
                CHECK(leader.count_expired(seconds(7)) == 1);
            }
        }
    }
}

/// One leader of several that follow each other.
struct leader_term {
    milliseconds vm_age{0};
    bool cancellation_first{false};
    /// Whether it stores its changes before it ends.
    bool stores{false};
};

std::vector<leader_term> all_leader_terms() {
    std::vector<leader_term> terms;
    for (const milliseconds vm_age : vm_ages) {
        for (const bool cancellation_first : {false, true}) {
            for (const bool stores : {false, true}) {
                terms.push_back({vm_age, cancellation_first, stores});
            }
        }
    }
    return terms;
}

/// Reads the job and leads for 50 s. Returns what is stored then.
std::optional<job_progress> lead(const leader_term& term, std::optional<job_progress> stored) {
    reading_leader leader(term.vm_age, std::move(stored));
    leader.read(store_read::submission);
    leader.read(term.cancellation_first ? store_read::cancellation : store_read::progress);
    leader.read(term.cancellation_first ? store_read::progress : store_read::cancellation);
    if (term.stores) {
        leader.store_changes();
    }
    CHECK(leader.count_expired(seconds(50)) == 0);
    CHECK(leader.scheduler.visible_state("job") == job_state::cancelled);
    return leader.stored;
}

// Guards against a cancelled job that is removed early by a later leader, whose clock is not
// comparable to that of the leader under which it became final.
TEST_CASE("a final state is kept for its retention over changes of the leader") {
    const std::vector<leader_term> terms = all_leader_terms();
    for (const leader_term& first : terms) {
        for (const leader_term& second : terms) {
            for (const leader_term& third : terms) {
                lead(third, lead(second, lead(first, half_done())));
            }
        }
    }
}

// Guards against tasks that start again after their end: a job that was cancelled while no entry
// led is forgotten, and a late repetition of its submission is taken for a new job.
TEST_CASE("a repeated submission of a job that was cancelled without a leader starts nothing") {
    for (const milliseconds vm_age : vm_ages) {
        simulated_vms vms(2);
        vms.time = vm_age + milliseconds(1000);
        vms.scheduler.add_job(make_two_step_job());
        vms.scheduler.cancel_job("job");
        vms.scheduler.restore_progress("job", half_done(), vms.now());
        std::size_t starts = 0;
        for (int round = 0; round < 140; ++round) {
            starts += vms.exchange().size();
            CHECK(vms.scheduler.take_expired(vms.now(), 10).empty());
        }
        vms.scheduler.add_job(make_two_step_job());
        for (int round = 0; round < 50; ++round) {
            starts += vms.exchange().size();
        }
        CHECK(starts == 0);
        CHECK(vms.scheduler.visible_state("job") == job_state::cancelled);
    }
}

} // namespace

// Guards against a caller who reads that a job is completed and then that it is running: a run that
// was stopped reports its end to a new leader.
TEST_CASE("a job that was shown as completed is shown so when a later end of it is reported") {
    simulated_vms vms(1);
    vms.scheduler.add_job(make_plain_job("job", 1));
    job_progress progress;
    progress.state = job_state::completed;
    progress.tasks.resize(1);
    progress.tasks.front().done = true;
    vms.scheduler.restore_progress("job", progress, vms.now());
    REQUIRE(vms.scheduler.visible_state("job") == job_state::completed);
    vms.reports.at("vm-0").ended = {{1, {{"job", 0, 0, 0}, 2}, run_outcome::stopped, "checkpoint"}};
    vms.exchange();
    CHECK(vms.scheduler.visible_state("job") == job_state::completed);
    // Nothing has to be stored for the end, so the runner may forget it at once.
    CHECK(vms.scheduler.changed_jobs(1).empty());
    CHECK(vms.scheduler.take_orders("vm-0", 0).acknowledged_ends == 1);
}

} // namespace egretstile
