#pragma once

#include "vm_event.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace egretstile::harness {

/// Checks of guarantees on the events of all VMs in chronological order. Each returns a description
/// of each violation; an empty result means that the guarantee held. A VM that the harness killed
/// executes nothing after its `killed` event. Resume a frozen VM before reading its log.

/// Runs of the same key that executed at the same time. A run executes from its start or resume to
/// its suspend or end.
std::vector<std::string> simultaneous_runs(const std::vector<vm_event>& events);

/// Starts and resumes in `domain` after `time`.
std::vector<std::string> starts_after(const std::vector<vm_event>& events,
                                      const failure_domain_name& domain, boot_time time);

/// Requests that started on `vm` after `time`.
std::vector<std::string> requests_after(const std::vector<vm_event>& events, const vm_name& vm,
                                        boot_time time);

/// Starts whose need exceeded the VM's capacity together with the runs that had not ended, and
/// starts that the worker refused for that reason.
std::vector<std::string> capacity_violations(const std::vector<vm_event>& events);

/// Number of starts of each key.
std::map<task_key, std::size_t> starts_by_key(const std::vector<vm_event>& events);

/// Number of runs of each key that ended with `phase`.
std::map<task_key, std::size_t> ends_by_key(const std::vector<vm_event>& events,
                                            const std::string& phase);

/// Number of times that each request started at an upstream, by request id.
std::map<std::string, std::size_t> requests_by_id(const std::vector<vm_event>& events);

/// Number of times that each request started at an upstream, by the first word of its body.
std::map<std::string, std::size_t> requests_by_label(const std::vector<vm_event>& events);

std::size_t count_of(const std::vector<vm_event>& events, vm_event_kind kind);

} // namespace egretstile::harness
