#pragma once

#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/job_settings.hpp"
#include "settings/settings_error.hpp"

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Reads settings files (TOML). All settings are declared once, in setting_table.cpp.
namespace egretstile::daemon {

enum class process_role : std::uint8_t { entry, agent, job_entry, job_agent };

inline constexpr std::array<enum_name<process_role>, 4> process_role_names{
    {{process_role::entry, "entry"},
     {process_role::agent, "agent"},
     {process_role::job_entry, "job-entry"},
     {process_role::job_agent, "job-agent"}}};

/// Loads a settings file. Returns the settings, or all errors of the file: unknown and missing
/// settings, values outside their range, lease terms that contradict each other. Thread-safe.
std::variant<entry_settings, std::vector<settings_error>>
load_entry_settings(const std::string& path);
std::variant<agent_settings, std::vector<settings_error>>
load_agent_settings(const std::string& path);
std::variant<job_entry_settings, std::vector<settings_error>>
load_job_entry_settings(const std::string& path);
std::variant<job_agent_settings, std::vector<settings_error>>
load_job_agent_settings(const std::string& path);

/// Text of a settings file of the role with every setting, its help, unit, allowed values and
/// default. Required settings have no default and are commented out. Thread-safe.
std::string print_defaults(process_role role);

} // namespace egretstile::daemon
