#pragma once

#include "vm_event.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace egretstile::harness {

/// Checks of guarantees on the events of all VMs, in order of time. Each gives a description of
/// each violation; empty: the guarantee held. A VM that the harness killed executes nothing after
/// its `killed` event; resume a frozen VM before reading its log.

/// Runs of one key that executed at the same time (between start or resume and suspend or end).
std::vector<std::string> simultaneous_runs(const std::vector<vm_event>& events);

/// Starts and resumes in `domain` after `time`.
std::vector<std::string> starts_after(const std::vector<vm_event>& events,
                                      const failure_domain_name& domain, boot_time time);

/// Requests that began on `vm` after `time`.
std::vector<std::string> requests_after(const std::vector<vm_event>& events, const vm_name& vm,
                                        boot_time time);

/// Starts whose need did not fit beside the runs that had not ended, and attempted ones.
std::vector<std::string> capacity_violations(const std::vector<vm_event>& events);

/// Number of starts of each key.
std::map<task_key, std::size_t> starts_by_key(const std::vector<vm_event>& events);

/// Number of runs of each key that ended with `phase`.
std::map<task_key, std::size_t> ends_by_key(const std::vector<vm_event>& events,
                                            const std::string& phase);

/// Number of times that each request began at an upstream.
std::map<std::string, std::size_t> requests_by_id(const std::vector<vm_event>& events);

/// The same by the first word of the request's body.
std::map<std::string, std::size_t> requests_by_label(const std::vector<vm_event>& events);

std::size_t count_of(const std::vector<vm_event>& events, vm_event_kind kind);

} // namespace egretstile::harness
