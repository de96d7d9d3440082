#pragma once

#include "entry/request_service.hpp"
#include "entry/task_service.hpp"
#include "telemetry/metrics.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <array>
#include <string>

namespace egretstile::daemon {

/// Metrics of an entry, as listed in docs/metrics.md. Thread-safe.
class entry_metrics {
public:
    entry_metrics();

    void count_request(const service_answer& answer, boot_clock::duration duration);
    void count_task_call(const task_answer& answer);
    void set_state(std::size_t vms, std::size_t owned_shards, std::size_t queued_tasks,
                   revision_number plan_revision);
    void set_frame_bytes(std::uint64_t received, std::uint64_t sent);

    std::string text() { return metrics_.text(); }

private:
    metrics metrics_;
    std::array<prometheus::Counter*, wire::serve_outcome_names.size()> requests_{};
    std::array<prometheus::Counter*, wire::task_call_outcome_names.size()> task_calls_{};
    prometheus::Counter& attempts_;
    prometheus::Histogram& request_seconds_;
    prometheus::Gauge& vms_;
    prometheus::Gauge& owned_shards_;
    prometheus::Gauge& queued_tasks_;
    prometheus::Gauge& plan_revision_;
    prometheus::Gauge& received_bytes_;
    prometheus::Gauge& sent_bytes_;
};

} // namespace egretstile::daemon
