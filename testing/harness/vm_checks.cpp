#include "vm_checks.hpp"

#include <algorithm>
#include <utility>

namespace egretstile::harness {

namespace {

/// A run on a VM: key, attempt and VM.
struct placed {
    task_key key;
    attempt_number attempt{0};
    vm_name vm;

    bool operator<(const placed& other) const {
        return std::tie(key, attempt, vm) < std::tie(other.key, other.attempt, other.vm);
    }
};

placed place_of(const vm_event& event) {
    return {event.run.key, event.run.attempt, event.vm};
}

std::string describe(const vm_event& event) {
    return std::string(name_of(vm_event_kind_names, event.kind)) + " of " + event.run.key +
           event.request_id + " attempt " + std::to_string(event.run.attempt) + " on " + event.vm +
           " (" + event.domain + ") at " + std::to_string(event.at.time_since_epoch().count()) +
           " ns";
}

bool begins(const vm_event& event) {
    return event.kind == vm_event_kind::start || event.kind == vm_event_kind::resume;
}

bool clears_vm(const vm_event& event) {
    return event.kind == vm_event_kind::boot || event.kind == vm_event_kind::killed;
}

template <typename Map>
void erase_vm(Map& runs, const vm_name& vm) {
    for (auto it = runs.begin(); it != runs.end();) {
        it = it->first.vm == vm ? runs.erase(it) : std::next(it);
    }
}

} // namespace

std::vector<std::string> simultaneous_runs(const std::vector<vm_event>& events) {
    std::map<placed, vm_event> executing;
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (clears_vm(event)) {
            erase_vm(executing, event.vm);
        } else if (event.kind == vm_event_kind::suspend || event.kind == vm_event_kind::end) {
            executing.erase(place_of(event));
        } else if (begins(event)) {
            for (const auto& [other, begun] : executing) {
                if (other.key == event.run.key) {
                    violations.push_back(describe(event) + " during " + describe(begun));
                }
            }
            executing[place_of(event)] = event;
        }
    }
    return violations;
}

std::vector<std::string> starts_after(const std::vector<vm_event>& events,
                                      const failure_domain_name& domain, boot_time time) {
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (begins(event) && event.domain == domain && event.at > time) {
            violations.push_back(describe(event));
        }
    }
    return violations;
}

std::vector<std::string> requests_after(const std::vector<vm_event>& events, const vm_name& vm,
                                        boot_time time) {
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::request_start && event.vm == vm && event.at > time) {
            violations.push_back(describe(event));
        }
    }
    return violations;
}

std::vector<std::string> capacity_violations(const std::vector<vm_event>& events) {
    std::map<vm_name, resources> capacities;
    std::map<placed, resources> held;
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::boot) {
            capacities[event.vm] = event.amounts;
        }
        if (clears_vm(event)) {
            erase_vm(held, event.vm);
        } else if (event.kind == vm_event_kind::end) {
            held.erase(place_of(event));
        } else if (event.kind == vm_event_kind::overcommit) {
            violations.push_back(describe(event));
        } else if (event.kind == vm_event_kind::start) {
            held[place_of(event)] = event.amounts;
            resources sum;
            for (const auto& [run, need] : held) {
                sum = run.vm == event.vm ? sum + need : sum;
            }
            if (!fits(sum, capacities[event.vm])) {
                violations.push_back(describe(event) + " exceeds the capacity");
            }
        }
    }
    return violations;
}

std::map<task_key, std::size_t> starts_by_key(const std::vector<vm_event>& events) {
    std::map<task_key, std::size_t> counts;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::start) {
            ++counts[event.run.key];
        }
    }
    return counts;
}

std::map<task_key, std::size_t> ends_by_key(const std::vector<vm_event>& events,
                                            const std::string& phase) {
    std::map<task_key, std::size_t> counts;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::end && event.phase == phase) {
            ++counts[event.run.key];
        }
    }
    return counts;
}

std::map<std::string, std::size_t> requests_by_id(const std::vector<vm_event>& events) {
    std::map<std::string, std::size_t> counts;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::request_start) {
            ++counts[event.request_id];
        }
    }
    return counts;
}

std::map<std::string, std::size_t> requests_by_label(const std::vector<vm_event>& events) {
    std::map<std::string, std::size_t> counts;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::request_start) {
            ++counts[event.request_label];
        }
    }
    return counts;
}

std::size_t count_of(const std::vector<vm_event>& events, vm_event_kind kind) {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(),
                      [kind](const vm_event& event) { return event.kind == kind; }));
}

} // namespace egretstile::harness
