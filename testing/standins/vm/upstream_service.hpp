#pragma once

#include "common/fault_injector.hpp"
#include "common/route_table.hpp"
#include "vm/event_log.hpp"
#include "vm/run_table.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>

namespace egretstile::standins {

struct upstream_settings {
    std::uint32_t slots{8};
    std::uint32_t connections{64};
    std::chrono::microseconds service_time{2000};
    /// Service times are uniformly distributed over the mean plus or minus this percentage.
    std::uint32_t jitter_percent{20};
    std::uint64_t seed{1};
};

/// Handles `POST /v1/serve`. Answers with `serve_answer` of the body after the service time, which
/// the VM's runs increase. When all slots or connections are in use, answers 503 and logs the event
/// `overload`. Logs the events `request_start` and `request_end` with the header `Request-Id` as
/// `id` and the first word of the body as `label`. Thread-safe.
class upstream_service {
public:
    /// The references must outlive the service.
    upstream_service(const upstream_settings& settings, run_table& runs, event_log& log,
                     const fault_injector& fault);

    const route_table& routes() const { return routes_; }

    /// `count` returns the number of open connections. Must be set before the service starts.
    void set_connection_counter(std::function<int()> count) {
        connection_counter_ = std::move(count);
    }

private:
    service_answer serve(const service_call& call);
    service_answer refuse(const service_call& call, const std::string& reason);
    service_answer serve_in_slot(const service_call& call);
    std::chrono::microseconds next_service_time();
    /// Adds `change` to the slots in use. Requires `mutex_`.
    void adjust_slots_in_use(int change);

    upstream_settings settings_;
    run_table& runs_;
    event_log& log_;
    const fault_injector& fault_;
    route_table routes_;
    std::function<int()> connection_counter_;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::uint32_t slots_in_use_{0};
};

} // namespace egretstile::standins
