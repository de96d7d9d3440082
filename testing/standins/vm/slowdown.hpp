#pragma once

#include <egretstile/core/task/task.hpp>

#include <vector>

namespace egretstile::standins {

/// Load that a run puts on the other runs of its VM.
struct neighbour {
    task_kind kind{task_kind::reconciliation};
    /// Share of the VM's processors that the run uses, 0 to 1.
    double share{0};
};

/// Factor (at least 1) by which `neighbours` and the requests in progress slow a task of `victim`.
/// `service_load` is the share of the upstream's slots in use. Thread-safe.
double task_slowdown(task_kind victim, const std::vector<neighbour>& neighbours,
                     double service_load);

/// Factor (at least 1) by which `neighbours` slow requests. Thread-safe.
double service_slowdown(const std::vector<neighbour>& neighbours);

} // namespace egretstile::standins
