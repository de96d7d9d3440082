#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <string>
#include <vector>

namespace egretstile {

/// A task run on a VM, with the properties that placement and interference control use.
struct placed_run {
    task_run run;
    std::string team;
    task_kind kind{task_kind::reconciliation};
    resources need;
    resources used;
};

/// State of a VM as an entry knows it from heartbeats and its own recent assignments. It may be
/// outdated: the VM's agent makes the final decision on admission.
struct vm_view {
    vm_name vm;
    incarnation_number incarnation{0};
    std::string worker_boot;
    failure_domain_name failure_domain;
    std::string rack;
    resources capacity;
    resources reserved;
    /// Whether new tasks may be placed here: the worker is known, the failure domain is in service,
    /// the VM is not draining and its last report is recent.
    bool accepts_tasks{false};
    /// Service that the upstream on this VM provides; empty when the VM has no upstream.
    std::string service;
    std::uint32_t slots{0};
    std::uint32_t slots_in_use{0};
    std::uint32_t latency_us{0};
    std::vector<placed_run> runs;
};

} // namespace egretstile
