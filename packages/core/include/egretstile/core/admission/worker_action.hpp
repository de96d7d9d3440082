#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>

namespace egretstile {

/// Fate of a worker call.
enum class call_result : std::uint8_t {
    done,
    refused, ///< The worker did not do it and will not.
    unknown  ///< No answer: it may have taken effect.
};

enum class worker_action_kind : std::uint8_t {
    renew,
    suspend,
    resume,
    stop,            ///< Stop without a checkpoint.
    checkpoint_stop, ///< Checkpoint, then stop.
    forget
};

/// A worker call that the agent must make now; its result goes to `action_finished`.
struct worker_action {
    worker_action_kind kind{worker_action_kind::renew};
    task_run run;
    /// New end of the lease of renew and resume.
    boot_time lease_until;
};

} // namespace egretstile
