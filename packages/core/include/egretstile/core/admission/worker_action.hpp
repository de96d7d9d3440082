#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>

namespace egretstile {

/// Outcome of a worker call.
enum class call_result : std::uint8_t {
    done,
    refused, ///< The call had no effect and will have none.
    unknown  ///< There was no answer. The call may have taken effect or may still do so.
};

enum class worker_action_kind : std::uint8_t {
    renew,
    suspend,
    resume,
    stop,            ///< Stop without a checkpoint.
    checkpoint_stop, ///< Checkpoint, then stop.
    forget           ///< Remove the ended run from the worker's list.
};

/// A worker call that the agent must make now. It passes the result to
/// `admission_controller::action_finished`.
struct worker_action {
    worker_action_kind kind{worker_action_kind::renew};
    task_run run;
    /// New end of the lease, for renew and resume; ignored otherwise.
    boot_time lease_until;
};

} // namespace egretstile
