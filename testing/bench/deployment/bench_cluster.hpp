#pragma once

#include "cluster.hpp"
#include "process_usage.hpp"
#include "scenario.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::bench {

/// The running processes of one deployment with one strategy. Not thread-safe.
class bench_cluster {
public:
    /// Waits until each entry sees all upstreams and all shards are owned. Throws std::exception.
    bench_cluster(const deployment& scene, const strategy& how);

    std::vector<unsigned short> caller_ports() const;
    std::vector<unsigned short> upstream_ports() const;

    /// `state` is "in" or "out". Throws std::runtime_error when the change is refused.
    void set_domain(const failure_domain_name& domain, const std::string& state) const;

    /// Calls that the key-value service has counted so far.
    std::uint64_t key_value_calls() const;

    /// Wall-clock time of the task's acceptance; nothing when no entry knows it.
    std::optional<std::int64_t> accepted_at_ms(const task_key& key) const;

    std::vector<harness::vm_event> events() const { return cluster_.events(); }

    process_usage entry_usage();
    process_usage agent_usage();

private:
    bool ready() const;

    harness::cluster cluster_;
};

} // namespace egretstile::bench
