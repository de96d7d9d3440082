#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/task/task.hpp>

#include <string>
#include <vector>

namespace egretstile {

/// A run on a VM as placement sees it.
struct placed_run {
    task_run run;
    std::string team;
    task_kind kind{task_kind::reconciliation};
    resources need;
    resources used;
};

/// What an entry knows of a VM, from heartbeats and its own recent assignments. A hint: the VM's
/// agent decides.
struct vm_view {
    vm_name vm;
    incarnation_number incarnation{0};
    std::string worker_boot;
    failure_domain_name failure_domain;
    std::string rack;
    resources capacity;
    resources reserved;
    /// Takes new tasks: worker known, domain in service, not draining, report fresh.
    bool accepts_tasks{false};
    /// Service of the upstream on this VM; empty when there is none.
    std::string service;
    std::uint32_t slots{0};
    std::uint32_t slots_in_use{0};
    std::uint32_t latency_us{0};
    std::vector<placed_run> runs;
};

} // namespace egretstile
