#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/identifiers.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile {

/// A queue of the operators' configuration: which callers' requests it accepts and how its jobs are
/// scheduled.
struct queue_policy {
    std::string name;
    /// Host and path prefix of the requests that the queue accepts.
    std::string host;
    std::string path_prefix;
    /// Service whose runners execute the tasks.
    std::string service;
    /// Jobs of a queue with a lower number are placed first.
    std::uint32_t priority{0};
    /// Number of failed runs of a task with which the job fails.
    std::uint32_t max_attempts{1};
    /// A job's objective is to be done within its critical path times `slack_factor`, plus
    /// `target_completion`.
    double slack_factor{1.0};
    milliseconds target_completion{0};
    /// Whether the advisor must approve the runner of each task.
    bool needs_advice{false};
};

struct service_policy {
    std::string name;
    /// Whether the service's runners refuse tasks that exceed their free capacity.
    bool runners_enforce_capacity{false};
};

/// Limits for callers' requests and connections.
struct request_limits {
    std::size_t max_body_bytes{262144};
    std::size_t max_header_bytes{16384};
    /// Time for a header from its first byte on.
    milliseconds header_timeout{3000};
    /// Connections that were idle for less are not closed, also when connections run short.
    milliseconds idle_timeout{15000};
};

/// One complete version of the operators' configuration.
struct operator_config {
    std::uint64_t version{0};
    std::vector<queue_policy> queues;
    std::vector<service_policy> services;
    request_limits limits;
};

/// The queue of this host with the longest path prefix that matches `path`; null when there is
/// none. The result points into `config`. Thread-safe.
const queue_policy* find_queue(const operator_config& config, const std::string& host,
                               const std::string& path);

/// The queue of this name; null when there is none. The result points into `config`. Thread-safe.
const queue_policy* find_queue_by_name(const operator_config& config, const std::string& name);

} // namespace egretstile
