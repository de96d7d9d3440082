#pragma once

#include <egretstile/core/plan/plan.hpp>

#include <string>

namespace egretstile {

/// Writes the plan's version, teams and rows as a sheet that `read_sheet` accepts. Thread-safe.
std::string write_sheet(const plan& value);

} // namespace egretstile
