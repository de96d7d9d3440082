#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace egretstile {

/// Idempotency key of an exclusive task. Chosen by the caller and unique in the deployment.
using task_key = std::string;
/// Name of a VM, as set in the settings of its agent.
using vm_name = std::string;
using failure_domain_name = std::string;
/// Identifies one run of an entry process. Never reused.
using entry_id = std::string;
using shard_number = std::uint32_t;
/// Fencing token of a shard's owner, increased with each change of owner. Zero: never owned.
using epoch_number = std::uint64_t;
/// Number of a start of a task. The first start has number 1, each later one a higher number.
using attempt_number = std::uint32_t;
/// Start time of an agent process in nanoseconds of the boot clock. A later agent process on the
/// same VM has a higher number.
using incarnation_number = std::uint64_t;
/// Revision of a value in the key-value store. Zero: the key does not exist.
using revision_number = std::uint64_t;

/// One run of a task, identified by the task's key and the number of the start.
struct task_run {
    task_key key;
    attempt_number attempt{0};

    friend bool operator==(const task_run&, const task_run&) = default;

    friend bool operator<(const task_run& left, const task_run& right) {
        return std::tie(left.key, left.attempt) < std::tie(right.key, right.attempt);
    }
};

} // namespace egretstile
