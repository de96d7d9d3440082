#pragma once

#include <egretstile/core/job/job_table.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Jobs whose progress is stored in one write.
struct progress_batch {
    struct entry {
        job_id id;
        /// Version of the job that the record holds.
        std::uint64_t version{0};
        std::string record;
        /// Size of the record, also after it has been moved from.
        std::size_t bytes{0};
    };

    std::vector<entry> entries;
    /// Jobs whose records were made smaller for the first time, by leaving out resume points.
    std::vector<job_id> reduced;
    /// Jobs whose records are too large even without resume points; not in `entries`.
    std::vector<job_id> too_large;
};

/// Chooses whose progress the leader stores next, so that no job keeps the progress of others from
/// being stored: a write stays below the largest value that the store takes, a record above it is
/// never sent, and a write that the store rejects is tried again job by job, with smaller records.
/// Not thread-safe.
class progress_batcher {
public:
    /// `max_value_bytes` is the largest value that the store takes.
    explicit progress_batcher(std::size_t max_value_bytes)
        : max_value_bytes_(max_value_bytes) {}

    /// `changed` holds the jobs with changes to be stored, oldest change first.
    progress_batch next(const std::vector<job_entry*>& changed, boot_time now);
    /// The store has accepted the batch.
    void note_stored(const progress_batch& batch);
    /// The store does not accept the batch, so that a repetition would be rejected, too.
    void note_rejected(const progress_batch& batch, boot_time now);
    /// The job was removed or failed.
    void forget(const job_id& id);

private:
    /// State of a job whose write was rejected.
    struct rejected_job {
        /// Largest record that is sent; nothing: as large as the store takes.
        std::optional<std::size_t> max_bytes;
        /// The job is left out until then.
        boot_time retry_at{};
    };

    std::size_t limit_of(const job_id& id) const;
    /// Nothing when the record is too large even without resume points.
    std::optional<std::string> encode(const job_entry& job, progress_batch& batch);

    std::size_t max_value_bytes_;
    /// Their progress is stored alone until the store accepts it.
    std::map<job_id, rejected_job> rejected_;
    /// Jobs that have been named in `progress_batch::reduced`.
    std::set<job_id> reduced_;
};

} // namespace egretstile::daemon
