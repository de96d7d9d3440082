#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <string>

/// Keys under which the scheduler's own state is stored.
namespace egretstile::daemon::store_keys {

/// Leadership and the key for authentication, which all processes read first; few and small values.
inline const std::string control_prefix = "egretstile/control/";
/// A `leader_record`; the store removes it when the leader's lease ends.
inline const std::string leader = control_prefix + "leader";
/// Epoch of the latest leader. Each write of a leader expects the revision of its own epoch, so
/// that the writes of an earlier leader fail.
inline const std::string epoch = control_prefix + "epoch";
/// Key with which the processes authenticate each other.
inline const std::string peer_key = control_prefix + "peer-key";

/// Accepted jobs and their cancellations. A cancellation's key is the job's with a suffix.
inline const std::string job_prefix = "egretstile/job/";
inline const std::string cancelled_suffix = "/cancelled";
/// Progress of the jobs, as the leader stores it.
inline const std::string progress_prefix = "egretstile/progress/";
/// VMs on which a leader may have started tasks. The value is empty, or the epoch of the first
/// leader that has not heard from the VM; later leaders write an empty value before they use it.
inline const std::string vm_prefix = "egretstile/vm/";

inline std::string job(const job_id& id) {
    return job_prefix + id;
}

inline std::string cancellation(const job_id& id) {
    return job_prefix + id + cancelled_suffix;
}

inline std::string progress(const job_id& id) {
    return progress_prefix + id;
}

inline std::string vm(const vm_name& name) {
    return vm_prefix + name;
}

} // namespace egretstile::daemon::store_keys
