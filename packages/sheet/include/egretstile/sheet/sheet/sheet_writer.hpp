#pragma once

#include <egretstile/core/plan/plan.hpp>

#include <string>

namespace egretstile {

/// The plan's rows and teams as a sheet that `read_sheet` accepts, with the plan's version.
/// Thread-safe.
std::string write_sheet(const plan& value);

} // namespace egretstile
