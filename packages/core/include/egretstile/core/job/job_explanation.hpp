#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/job_progress.hpp>
#include <egretstile/core/job/job_spec.hpp>
#include <egretstile/core/job/room_account.hpp>
#include <egretstile/core/job/task_placer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretstile {

/// Why the tasks of a step that have no run are not started.
enum class step_wait : std::uint8_t {
    nothing,       ///< No task of the step is waiting.
    due_time,      ///< The occurrence is not due yet.
    earlier_steps, ///< Steps that it depends on are not done.
    unseen_runs,   ///< A VM that has not reported may still run tasks of an earlier leader.
    retry_pause,   ///< The pause after a failure or a rejection has not passed.
    gang_members,  ///< Members of the gang's previous run have not ended.
    room,          ///< No VM can take the next task; see `step_explanation::obstacles`.
    near_place     ///< The next task waits for its rack; see `step_explanation::near_rack`.
};

inline constexpr std::array<enum_name<step_wait>, 8> step_wait_names{
    {{step_wait::nothing, "nothing"},
     {step_wait::due_time, "due_time"},
     {step_wait::earlier_steps, "earlier_steps"},
     {step_wait::unseen_runs, "unseen_runs"},
     {step_wait::retry_pause, "retry_pause"},
     {step_wait::gang_members, "gang_members"},
     {step_wait::room, "room"},
     {step_wait::near_place, "near_place"}}};

struct running_task {
    task_ref task;
    attempt_number attempt{0};
    vm_name vm;
    std::uint32_t percent{0};
    bool stopping{false};
    /// The runner has listed the run; otherwise its start is only ordered.
    bool listed{false};
};

struct step_explanation {
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::size_t tasks{0};
    std::size_t done{0};
    std::size_t waiting{0};
    std::vector<running_task> running;
    step_wait waits_for{step_wait::nothing};
    /// Number of VMs by the obstacle to placing the next waiting task on them. Filled only when the
    /// step waits for room.
    std::map<placement_obstacle, std::size_t> obstacles;
    /// Rack that the next task waits for, and how much longer it waits at most. Filled only when
    /// the step waits for a near place.
    std::string near_rack;
    std::int64_t near_wait_left_ms{0};
    /// Processor time of the service's VMs. Filled only when filling tasks of the step wait for
    /// room.
    std::optional<service_room> room;
};

/// State of a job and of its steps, for display to operators.
struct job_explanation {
    job_state state{job_state::queued};
    std::string queue;
    std::uint32_t priority{0};
    std::vector<step_explanation> steps;
};

} // namespace egretstile
