#pragma once

#include "claims.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::soak {

using std::chrono::milliseconds;

enum class fault_kind : std::uint8_t {
    entry_killed,
    entry_frozen,
    entry_terminated,
    agent_killed,
    agent_frozen,
    agent_terminated,
    runner_ended,        ///< Its process ends and another one starts with the same id.
    runner_deregistered, ///< As before, and the process deregisters first.
    answers_lost,        ///< A runner carries out calls and does not answer.
    store_down,
    claims ///< Another writer makes calls at the address for a runner's heartbeats.
};

inline constexpr std::array<enum_name<fault_kind>, 11> fault_names{
    {{fault_kind::entry_killed, "entry-killed"},
     {fault_kind::entry_frozen, "entry-frozen"},
     {fault_kind::entry_terminated, "entry-terminated"},
     {fault_kind::agent_killed, "agent-killed"},
     {fault_kind::agent_frozen, "agent-frozen"},
     {fault_kind::agent_terminated, "agent-terminated"},
     {fault_kind::runner_ended, "runner-ended"},
     {fault_kind::runner_deregistered, "runner-deregistered"},
     {fault_kind::answers_lost, "answers-lost"},
     {fault_kind::store_down, "store-down"},
     {fault_kind::claims, "claims"}}};

/// What a fault changes. Two faults of one target do not overlap.
enum class fault_target : std::uint8_t { entry, agent, runner, answers, store, claims };

fault_target target_of(fault_kind kind);

struct soak_options {
    std::uint64_t seed{1};
    /// Jobs are submitted and faults last during this time.
    std::chrono::seconds duration{20};
    std::size_t entries{3};
    std::size_t vms{4};
    /// Faults that are left out.
    std::set<fault_kind> without;
};

/// Times are from the start of the run.
struct fault {
    milliseconds start{0};
    milliseconds end{0};
    fault_kind kind{fault_kind::entry_killed};
    /// Number of the entry or of the VM.
    std::size_t target{0};
    platform::standins::claim_kind claim{};
};

struct planned_job {
    std::string id;
    milliseconds submitted{0};
    std::optional<milliseconds> cancelled;
    /// Entry that is called first.
    std::size_t entry{0};
    std::size_t tasks{1};
    milliseconds task_duration{0};
    std::int64_t cpu_millicores{1000};
};

/// All that a run does. Follows from the options alone.
struct soak_plan {
    /// In the order of `start`.
    std::vector<fault> faults;
    /// In the order of `submitted`.
    std::vector<planned_job> jobs;
};

soak_plan make_plan(const soak_options& options);

/// One line for each fault and job, in the order of time.
std::string to_text(const soak_plan& plan);

/// For example "1.250 s".
std::string to_text(milliseconds time);

} // namespace egretstile::soak
