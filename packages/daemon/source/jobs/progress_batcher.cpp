#include "jobs/progress_batcher.hpp"

#include <egretstile/infrastructure/key_value/coordination_store.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <utility>

namespace egretstile::daemon {

namespace {

/// A transaction has one condition on the epoch, and one condition and one write for each job.
constexpr std::size_t jobs_per_commit = (infrastructure::max_transaction_entries - 1) / 2;
/// Records below this size are not rejected for their size.
constexpr std::size_t unsuspected_bytes = std::size_t{64} * 1024;
/// Pause before a job whose write was rejected is tried again.
constexpr milliseconds rejected_retry_delay{2000};

} // namespace

progress_batch progress_batcher::next(const std::vector<job_entry*>& changed, boot_time now) {
    progress_batch batch;
    std::size_t bytes = 0;
    for (job_entry* const job : changed) {
        const auto rejected = rejected_.find(job->spec.id);
        const bool alone = rejected != rejected_.end();
        if (alone && (now < rejected->second.retry_at || !batch.entries.empty())) {
            continue;
        }
        std::optional<std::string> record = encode(*job, batch);
        if (!record) {
            batch.too_large.push_back(job->spec.id);
            continue;
        }
        const std::size_t record_bytes = record->size();
        bytes += record_bytes;
        if (bytes > max_value_bytes_ && !batch.entries.empty()) {
            break;
        }
        batch.entries.push_back({job->spec.id, job->version, std::move(*record), record_bytes});
        if (alone || batch.entries.size() == jobs_per_commit) {
            break;
        }
    }
    return batch;
}

void progress_batcher::note_stored(const progress_batch& batch) {
    for (const progress_batch::entry& entry : batch.entries) {
        const auto rejected = rejected_.find(entry.id);
        if (rejected != rejected_.end() && !rejected->second.max_bytes) {
            rejected_.erase(rejected);
        }
    }
}

void progress_batcher::note_rejected(const progress_batch& batch, boot_time now) {
    const bool alone = batch.entries.size() == 1;
    for (const progress_batch::entry& entry : batch.entries) {
        rejected_job& rejected = rejected_[entry.id];
        if (alone && entry.bytes > unsuspected_bytes) {
            rejected.max_bytes = entry.bytes / 2;
        } else if (alone) {
            rejected.retry_at = now + rejected_retry_delay;
        }
    }
}

void progress_batcher::forget(const job_id& id) {
    rejected_.erase(id);
    reduced_.erase(id);
}

std::size_t progress_batcher::limit_of(const job_id& id) const {
    const auto rejected = rejected_.find(id);
    return rejected == rejected_.end() ? max_value_bytes_
                                       : rejected->second.max_bytes.value_or(max_value_bytes_);
}

std::optional<std::string> progress_batcher::encode(const job_entry& job, progress_batch& batch) {
    job_progress progress = progress_of(job);
    std::string record = wire::encode_record(progress);
    const std::size_t limit = limit_of(job.spec.id);
    if (record.size() <= limit) {
        return record;
    }
    const std::size_t needed = record.size() - resume_point_bytes(progress);
    limit_resume_points(progress, job.spec, limit > needed ? limit - needed : 0);
    record = wire::encode_record(progress);
    if (record.size() > limit) {
        return std::nullopt;
    }
    if (reduced_.insert(job.spec.id).second) {
        batch.reduced.push_back(job.spec.id);
    }
    return record;
}

} // namespace egretstile::daemon
