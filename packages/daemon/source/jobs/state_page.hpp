#pragma once

#include <egretstile/core/job/job_scheduler.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// State of an entry as of its last ping to the leader.
struct entry_status {
    std::string name;
    std::uint64_t config_version{0};
    std::int64_t last_ping_age_ms{0};
};

/// State of the deployment as one entry knows it.
struct deployment_state {
    /// Name of the entry that describes the deployment.
    std::string entry;
    /// Name of the leader; empty while there is none.
    std::string leader;
    epoch_number epoch{0};
    std::uint64_t config_version{0};
    std::int64_t config_age_ms{0};
    std::set<failure_domain_name> closed_domains;
    /// At the leader: the entries that have sent it a ping recently.
    std::vector<entry_status> entries;
};

/// JSON text. `scheduler` is null at an entry that does not lead; entries, queues, jobs and VMs are
/// then left out. `config` is null until a configuration has been read. Thread-safe.
std::string describe_deployment(const deployment_state& state, const operator_config* config,
                                const job_scheduler* scheduler, boot_time now);

/// JSON text. Thread-safe.
std::string describe_job(const job_id& id, const job_explanation& job);

} // namespace egretstile::daemon
