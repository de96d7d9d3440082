#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace egretstile {

/// Idempotency key of an exclusive task; chosen by the caller, unique in the deployment.
using task_key = std::string;
/// Name of a VM, from the settings of its agent.
using vm_name = std::string;
using failure_domain_name = std::string;
/// Identifies one run of an entry process; never reused.
using entry_id = std::string;
using shard_number = std::uint32_t;
/// Fencing number of a shard's owner; rises with each change of owner. Zero: never owned.
using epoch_number = std::uint64_t;
/// Number of the start of a task; rises with each start, the first is 1.
using attempt_number = std::uint32_t;
/// Start time of an agent in nanoseconds of the boot clock; a later agent of the same VM has a
/// higher one.
using incarnation_number = std::uint64_t;
/// Revision of a value in the key-value service; zero: absent.
using revision_number = std::uint64_t;

/// One run of a task.
struct task_run {
    task_key key;
    attempt_number attempt{0};

    friend bool operator==(const task_run&, const task_run&) = default;

    friend bool operator<(const task_run& left, const task_run& right) {
        return std::tie(left.key, left.attempt) < std::tie(right.key, right.attempt);
    }
};

} // namespace egretstile
