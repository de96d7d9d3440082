#pragma once

#include "common/fault_switch.hpp"
#include "common/route_table.hpp"
#include "vm/event_log.hpp"
#include "vm/run_table.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>

namespace egretstile::standins {

struct upstream_traits {
    std::uint32_t slots{8};
    std::uint32_t connections{64};
    std::chrono::microseconds service_time{2000};
    /// Service times are spread evenly over the mean plus and minus this share.
    std::uint32_t jitter_percent{20};
    std::uint64_t seed{1};
};

/// `POST /v1/serve`: answers with `serve_answer` of the body after the service time, slowed by the
/// VM's runs. Above its slots or connections it answers 503 and logs `overload`. Logs
/// `request_start` and `request_end` with the header `Request-Id` and, as `label`, the first word
/// of the body. Thread-safe.
class upstream_service {
public:
    /// The references must outlive the service.
    upstream_service(const upstream_traits& traits, run_table& runs, event_log& log,
                     const fault_switch& fault);

    const route_table& routes() const { return routes_; }

    /// Gives the open connections; set before the service starts.
    void set_connection_count(std::function<int()> count) { connection_count_ = std::move(count); }

private:
    service_answer serve(const service_call& call);
    service_answer refuse(const service_call& call, const std::string& reason);
    service_answer serve_in_slot(const service_call& call);
    std::chrono::microseconds next_service_time();
    void use_slots(int change);

    upstream_traits traits_;
    run_table& runs_;
    event_log& log_;
    const fault_switch& fault_;
    route_table routes_;
    std::function<int()> connection_count_;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::uint32_t slots_in_use_{0};
};

} // namespace egretstile::standins
