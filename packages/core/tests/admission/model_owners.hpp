#pragma once

#include <egretstile/core/admission/admission_controller.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::testing {

/// A heartbeat as the agent sent it.
struct model_heartbeat {
    std::size_t entry{0};
    std::uint64_t sequence{0};
    incarnation_number incarnation{0};
    bool worker_known{false};
    std::string boot;
    std::vector<run_report> runs;
    boot_time sent_at;
};

/// A reply with the heartbeat that it answers.
struct model_reply {
    owner_reply reply;
    model_heartbeat heartbeat;
};

/// Small model of the operators and of two entries that own two shards with two tasks each. All
/// commits succeed at once. The owner ends a run by the rules of the design (section 5, decision 3)
/// and then counts on it: an ended run must not execute.
class model_owners {
public:
    static constexpr std::size_t entry_count = 2;
    static constexpr std::size_t shard_count = 2;
    static constexpr std::size_t task_count = 4;

    explicit model_owners(const lease_terms& terms);

    /// Puts the failure domain out of service or back.
    void toggle_domain(boot_time now);
    void confirm_plan(std::size_t entry, boot_time now);

    /// Last time at which the failure domain was in service.
    boot_time last_in_service(boot_time now) const { return in_service_ ? now : out_since_; }

    bool in_service() const { return in_service_; }

    /// Another entry takes over the shard with the next epoch.
    void take_over(std::size_t shard, boot_time now);

    /// Answers a heartbeat; nothing when a later one was answered before. With `former_grants` an
    /// entry that lost a shard less than an ownership term ago still grants it.
    std::optional<model_reply> answer(const model_heartbeat& heartbeat, bool former_grants,
                                      boot_time now);

    /// Starts the task, or repeats its start. Nothing before the first complete heartbeat.
    std::optional<start_request> start(std::size_t task, boot_time now);

    /// The current run of the task with the shard and epoch of its owner.
    struct owned_run {
        task_run run;
        shard_number shard{0};
        epoch_number epoch{0};
        bool open{false};
    };

    owned_run current(std::size_t task) const;

    /// The agent's answer to a start reached the owner.
    void start_refused(const task_run& run) { end(run); }

    /// Ends the runs of the shard whose last grant is over with margin.
    void end_silent(std::size_t shard, boot_time now);

    /// Runs that the owner counts as ended.
    const std::set<task_run>& ended() const { return ended_; }

private:
    struct entry_state {
        bool plan_known{false};
        revision_number revision{0};
        bool in_service{false};
        boot_time confirmed_at;
        std::uint64_t answered_sequence{0};
    };

    struct shard_state {
        std::size_t owner{0};
        epoch_number epoch{1};
        std::optional<boot_time> taken_at;
        boot_time last_promise;
    };

    struct task_state_model {
        attempt_number attempt{0};
        bool open{false};
        incarnation_number incarnation{0};
        std::string boot;
    };

    static std::size_t shard_index(std::size_t task) { return task % shard_count; }

    static task_key key_of(std::size_t task) { return "task-" + std::to_string(task); }

    std::optional<std::size_t> open_task(const task_run& run) const;
    void end(const task_run& run);
    void fill_plan(owner_reply& reply, const entry_state& entry, boot_time now) const;
    void fill_runs(owner_reply& reply, const model_heartbeat& heartbeat, std::size_t shard);
    void end_missing(const model_heartbeat& heartbeat, std::size_t shard);

    lease_terms terms_;
    revision_number revision_{1};
    bool in_service_{true};
    boot_time out_since_{};
    std::array<entry_state, entry_count> entries_;
    std::array<shard_state, shard_count> shards_;
    std::array<task_state_model, task_count> tasks_;
    std::set<task_run> ended_;
    std::optional<model_heartbeat> last_heartbeat_;
};

} // namespace egretstile::testing
