#pragma once

#include "telemetry/metrics.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/name_table.hpp>
#include <egretstile/core/job/decision.hpp>
#include <egretstile/core/job/job_table.hpp>
#include <egretstile/core/job/locality_wait.hpp>
#include <egretstile/core/job/room_account.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace egretstile::daemon {

/// Kind of a caller's request.
enum class job_call : std::uint8_t { submit, show, cancel, pending, other };

inline constexpr std::array<enum_name<job_call>, 5> job_call_names{{{job_call::submit, "submit"},
                                                                    {job_call::show, "show"},
                                                                    {job_call::cancel, "cancel"},
                                                                    {job_call::pending, "pending"},
                                                                    {job_call::other, "other"}}};

enum class job_call_outcome : std::uint8_t {
    answered,
    refused, ///< The request had no effect; the caller may repeat it.
    unknown, ///< The request may have taken effect.
    absent,  ///< No such queue or job.
    invalid  ///< Any other failure, such as a malformed request.
};

inline constexpr std::array<enum_name<job_call_outcome>, 5> job_call_outcome_names{
    {{job_call_outcome::answered, "answered"},
     {job_call_outcome::refused, "refused"},
     {job_call_outcome::unknown, "unknown"},
     {job_call_outcome::absent, "absent"},
     {job_call_outcome::invalid, "invalid"}}};

/// Outcome that the HTTP status of a response stands for. Thread-safe.
job_call_outcome outcome_of_status(int status);

/// State of an entry that is read each time its metrics are fetched.
struct job_entry_state {
    /// Epoch in which this entry leads; zero when it does not lead.
    std::uint64_t leader_epoch{0};
    std::uint64_t config_version{0};
    double config_age_seconds{0};
    double longest_round_seconds{0};
    std::size_t jobs{0};
    std::size_t unfinished_jobs{0};
    std::size_t job_memory_bytes{0};
    unstarted_jobs unstarted;
    std::size_t vms{0};
    std::size_t connections{0};
    std::uint64_t dropped_log_lines{0};
    /// Waits of tasks for the racks that hold their data, since this entry leads.
    wait_totals near_waits;
    /// Processor time by service; empty when this entry does not lead.
    std::map<std::string, service_room> rooms;
};

/// Metrics of a job entry; docs/metrics.md lists them. Thread-safe, except that one thread at a
/// time may call `set_state`.
class job_entry_metrics {
public:
    job_entry_metrics();

    void count_call(job_call call, int status, boot_clock::duration duration);
    void count_decision(decision_kind kind);
    void set_state(const job_entry_state& state);

    metrics& registry() { return metrics_; }

private:
    /// Gauges of one service, indexed by `room_part`.
    using room_gauges = std::array<prometheus::Gauge*, room_part_names.size()>;

    room_gauges& room_gauges_of(const std::string& service);
    /// Sets the gauges of all services; those of services without a VM to zero.
    void set_rooms(const std::map<std::string, service_room>& rooms);

    metrics metrics_;
    /// Gauges of the services that have had a VM, so that they can be set to zero.
    std::map<std::string, room_gauges> rooms_;
    std::array<std::array<prometheus::Counter*, job_call_outcome_names.size()>,
               job_call_names.size()>
        calls_{};
    std::array<prometheus::Counter*, decision_kind_names.size()> decisions_{};
    prometheus::Histogram& call_seconds_;
    prometheus::Gauge& leader_epoch_;
    prometheus::Gauge& config_version_;
    prometheus::Gauge& config_age_;
    prometheus::Gauge& longest_round_;
    prometheus::Gauge& jobs_;
    prometheus::Gauge& unfinished_jobs_;
    prometheus::Gauge& job_memory_bytes_;
    prometheus::Gauge& unstarted_jobs_;
    prometheus::Gauge& ordered_jobs_;
    prometheus::Gauge& vms_;
    prometheus::Gauge& connections_;
    prometheus::Gauge& dropped_log_lines_;
    prometheus::Gauge& near_waits_begun_;
    prometheus::Gauge& near_waits_ended_near_;
    prometheus::Gauge& near_waits_ended_remote_;
    prometheus::Gauge& near_waits_dropped_;
    prometheus::Gauge& near_wait_seconds_;
};

} // namespace egretstile::daemon
