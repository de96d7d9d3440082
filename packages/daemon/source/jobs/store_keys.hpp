#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/job/job_spec.hpp>

#include <string>

/// Keys under which the scheduler's own state is stored.
namespace egretstile::daemon::store_keys {

/// Who leads, and what all processes have to know first; few and small values.
inline const std::string control_prefix = "egretstile/control/";
/// The leader's address; held under a lease.
inline const std::string leader = control_prefix + "leader";
/// The highest epoch; every write of a leader expects its revision.
inline const std::string epoch = control_prefix + "epoch";
/// Epoch whose leader has resigned: it gives no more permissions.
inline const std::string released = control_prefix + "released";
/// Highest epoch in which all permissions of earlier leaders had certainly ended.
inline const std::string settled = control_prefix + "settled";
/// Key with which the processes authenticate each other.
inline const std::string peer_key = control_prefix + "peer-key";

/// Accepted jobs, and beside them their cancellations.
inline const std::string job_prefix = "egretstile/job/";
inline const std::string cancelled_suffix = "/cancelled";
/// What the leader stores of the jobs' progress.
inline const std::string progress_prefix = "egretstile/progress/";
/// VMs that a leader has used.
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
