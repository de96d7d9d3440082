#include "vm_checks.hpp"

#include <algorithm>
#include <utility>

namespace egretstile::harness {

namespace {

struct run_on_vm {
    task_key key;
    attempt_number attempt{0};
    vm_name vm;

    bool operator<(const run_on_vm& other) const {
        return std::tie(key, attempt, vm) < std::tie(other.key, other.attempt, other.vm);
    }
};

run_on_vm run_of(const vm_event& event) {
    return {event.run.key, event.run.attempt, event.vm};
}

std::string describe(const vm_event& event) {
    return std::string(name_of(vm_event_kind_names, event.kind)) + " of " + event.run.key +
           event.request_id + " attempt " + std::to_string(event.run.attempt) + " on " + event.vm +
           " (" + event.domain + ") at " + std::to_string(event.at.time_since_epoch().count()) +
           " ns";
}

bool starts_execution(const vm_event& event) {
    return event.kind == vm_event_kind::start || event.kind == vm_event_kind::resume;
}

bool ends_all_runs(const vm_event& event) {
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
    std::map<run_on_vm, vm_event> executing;
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (ends_all_runs(event)) {
            erase_vm(executing, event.vm);
        } else if (event.kind == vm_event_kind::suspend || event.kind == vm_event_kind::end) {
            executing.erase(run_of(event));
        } else if (starts_execution(event)) {
            for (const auto& [other, earlier] : executing) {
                if (other.key == event.run.key) {
                    violations.push_back(describe(event) + " during " + describe(earlier));
                }
            }
            executing[run_of(event)] = event;
        }
    }
    return violations;
}

std::vector<std::string> starts_after(const std::vector<vm_event>& events,
                                      const failure_domain_name& domain, boot_time time) {
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (starts_execution(event) && event.domain == domain && event.at > time) {
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
    std::map<run_on_vm, resources> unfinished;
    std::vector<std::string> violations;
    for (const vm_event& event : events) {
        if (event.kind == vm_event_kind::boot) {
            capacities[event.vm] = event.amounts;
        }
        if (ends_all_runs(event)) {
            erase_vm(unfinished, event.vm);
        } else if (event.kind == vm_event_kind::end) {
            unfinished.erase(run_of(event));
        } else if (event.kind == vm_event_kind::overcommit) {
            violations.push_back(describe(event));
        } else if (event.kind == vm_event_kind::start) {
            unfinished[run_of(event)] = event.amounts;
            resources sum;
            for (const auto& [run, need] : unfinished) {
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
