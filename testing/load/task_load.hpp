#pragma once

#include "load_report.hpp"
#include "load_settings.hpp"

namespace egretstile::load {

/// Submits exclusive tasks with the keys PREFIX-task-N to `POST /v1/tasks`. If
/// `task_settings::follow` is not zero, then reads the states of the accepted ones until they are
/// final. An accepted task whose key the entry does not know counts as state `lost`.
void run_tasks(const load_settings& settings, load_report& report);

} // namespace egretstile::load
