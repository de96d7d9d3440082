#pragma once

#include <egretstile/core/job/job_scheduler.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// An entry as the leader heard of it last.
struct known_entry {
    std::string name;
    std::uint64_t config_version{0};
    std::int64_t heard_ms_ago{0};
};

/// What an entry knows of the deployment.
struct deployment_state {
    std::string entry;
    /// Empty while nobody leads.
    std::string leader;
    epoch_number epoch{0};
    std::uint64_t config_version{0};
    std::int64_t config_age_ms{0};
    std::set<failure_domain_name> closed_domains;
    /// Of the leader: the entries that have asked it lately.
    std::vector<known_entry> entries;
};

/// `scheduler` is null at an entry that does not lead; the rest is then what it knows itself. JSON.
/// Thread-safe.
std::string describe_deployment(const deployment_state& state, const operator_config* config,
                                const job_scheduler* scheduler, boot_time now);

/// JSON. Thread-safe.
std::string describe_job(const job_id& id, const job_explanation& job);

} // namespace egretstile::daemon
