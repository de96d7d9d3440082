#pragma once

#include "cluster.hpp"
#include "vm_event.hpp"

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/lease_terms.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile::harness {

/// Result of a check that found no violation. A failed comparison with it prints the violations.
inline const std::vector<std::string> no_violations;

/// Lease terms of these tests. The heartbeat interval, the session, ownership and grant terms and
/// the suspend margin are half of the defaults, so their proportions are the same.
lease_terms short_terms();

/// Body of a submission.
struct submission {
    task_key key;
    std::string kind{"reconciliation"};
    std::int64_t cpu_millicores{2000};
    bool idempotent{false};
    std::string payload{"work_ms=2500;result=ok"};
};

/// Entries and VMs with `short_terms`, each VM in a failure domain of its own (domain-0, ...).
cluster_options task_cluster_options(std::size_t entries, std::size_t vms,
                                     std::int64_t cpu_millicores);

/// `count` copies of `prototype` with the keys PREFIX-0, PREFIX-1, ...
std::vector<submission> make_submissions(const std::string& prefix, std::size_t count,
                                         const submission& prototype);

std::vector<task_key> keys_of(const std::vector<submission>& tasks);

/// Waits until every entry is ready and reports all entries and VMs, and every shard has an owner.
/// Like all functions of this header that wait, returns false on a time-out.
bool wait_ready(const cluster& cluster, std::size_t entries, std::size_t vms);

/// Number of shards that the entry reports as its own; zero when it does not answer.
std::size_t owned_shards(const cluster& cluster, std::size_t entry);

/// Waits until the entry owns every shard.
bool wait_sole_owner(const cluster& cluster, std::size_t entry);

/// Submits the task at the entry. Returns whether it was accepted.
bool submit(const cluster& cluster, std::size_t entry, const submission& task);

/// Submits each task at the first `entries` entries in turn until one accepts it. Returns whether
/// all were accepted.
bool submit_all(const cluster& cluster, std::size_t entries, const std::vector<submission>& tasks);

/// Submits each task at the entry that owns its shard. Returns whether all were accepted.
bool submit_at_owners(const cluster& cluster, const std::vector<submission>& tasks);

/// State of the task as the entry reports it; empty when it does not answer with status 200.
std::string task_state(const cluster& cluster, std::size_t entry, const task_key& key);

/// Index of the entry that owns the key's shard according to the record in the key-value service.
std::size_t owner_of(const cluster& cluster, const task_key& key);

/// Index of the VM of the key's first start in the logs. Throws std::out_of_range when
/// there is none.
std::size_t vm_of(const cluster& cluster, const task_key& key);

/// Waits until the logs contain at least this many starts.
bool wait_starts(const cluster& cluster, std::size_t count);

/// Waits until the logs contain a start of the key on another VM than `vm`.
bool wait_start_elsewhere(const cluster& cluster, const task_key& key, std::size_t vm);

/// Waits until the logs contain a run of each key that ended as succeeded.
bool wait_succeeded(const cluster& cluster, const std::vector<task_key>& keys);

/// Waits until the runs that have started have a grant from a heartbeat reply. The grant that comes
/// with the start ends sooner, so a fault before that would not test a renewed lease.
bool wait_renewed_grants();

/// Waits until this time of the boot clock has passed.
bool wait_past(boot_time time);

/// Keys whose number of starts, or of runs that succeeded, is not one.
std::vector<std::string> not_exactly_once(const std::vector<vm_event>& events,
                                          const std::vector<task_key>& keys);

/// Keys that started more than once.
std::vector<std::string> started_again(const std::vector<vm_event>& events,
                                       const std::vector<task_key>& keys);

/// Keys of which not exactly one run succeeded.
std::vector<std::string> not_completed_once(const std::vector<vm_event>& events,
                                            const std::vector<task_key>& keys);

} // namespace egretstile::harness
