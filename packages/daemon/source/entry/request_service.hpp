#pragma once

#include "entry/fleet.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/admission/refusal.hpp>
#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/routing/request_router.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// A caller's request to a service.
struct service_request {
    std::string service;
    std::string body;
    bool idempotent{true};
    boot_time deadline;
    std::string traceparent;
};

/// Outcome of a request and, if an upstream answered, its answer.
struct service_answer {
    wire::serve_outcome outcome{wire::serve_outcome::unknown};
    refusal reason{refusal::none};
    std::uint32_t http_status{0};
    std::string body;
    /// VM whose upstream answered; empty: none.
    vm_name vm;
    /// Attempts that were made, retries and hedges included.
    std::uint32_t attempts{0};
};

/// Routes requests of callers to upstreams: `request_router` decides where an attempt goes, this
/// class sends the attempts over the connections to the agents and hands it their results. For the
/// event loop's thread only.
class request_service {
public:
    using answer_callback = std::function<void(const service_answer&)>;

    request_service(event_loop& loop, const routing_settings& settings, fleet& vm_fleet);

    /// `done` is called exactly once, at the latest at the deadline.
    void serve(service_request request, answer_callback done);

    /// Updates the router's state of the VM's upstream from a heartbeat.
    void update_upstream(const fleet_vm& vm, bool domain_in_service, boot_time now);
    void remove_upstream(const vm_name& vm);
    void reply_received(const vm_name& vm, wire::serve_reply reply);
    /// Counts all unanswered attempts at this VM as failed, because the connection over which their
    /// answers would come was lost.
    void connection_lost(const vm_name& vm);

    std::size_t open_requests() const { return open_.size(); }

private:
    struct attempt_state {
        vm_name vm;
        bool finished{false};
        std::uint32_t http_status{0};
        std::string body;
    };

    struct open_request {
        service_request request;
        answer_callback done;
        std::map<std::uint32_t, attempt_state> attempts;
    };

    void carry_out(const std::vector<routing_step>& steps);
    void carry_out_step(const send_attempt& step);
    void carry_out_step(const finish_request& step);
    void schedule_tick();

    event_loop& loop_;
    fleet& fleet_;
    request_router router_;
    std::map<std::uint64_t, open_request> open_;
    std::uint64_t next_id_{1};
    std::optional<boot_time> tick_scheduled_;
};

} // namespace egretstile::daemon
