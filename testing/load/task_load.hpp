#pragma once

#include "load_report.hpp"
#include "load_settings.hpp"

namespace egretstile::load {

/// Submits exclusive tasks with the keys PREFIX-task-N to `POST /v1/tasks` and, when asked to,
/// reads their states until they are final. An accepted task whose key an entry does not know
/// counts as state `lost`.
void run_tasks(const load_settings& settings, load_report& report);

} // namespace egretstile::load
