#pragma once

#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// Registration of a runner, repeated at the heartbeat interval.
struct runner_heartbeat {
    std::string runner_id;
    /// Increases with each heartbeat of one instance, so that a delayed one is recognised.
    std::uint64_t sequence{0};
    /// Wall-clock time at which this instance started, in milliseconds; distinguishes instances
    /// with the same id.
    std::int64_t instance_start_ms{0};
    runner_registration registration;
};

/// The runner deregisters because it stops now.
struct runner_deregistration {
    std::string runner_id;
    /// Start time of the instance as in `runner_heartbeat`; zero: the call does not state it.
    std::int64_t instance_start_ms{0};
};

/// The call is none of the above or cannot be decoded.
struct malformed_call {
    std::string reason;
};

/// Format of the HTTP calls with which a runner registers at the agent of its VM. Thread-safe.
class registration_protocol {
public:
    registration_protocol() = default;
    registration_protocol(const registration_protocol&) = delete;
    registration_protocol& operator=(const registration_protocol&) = delete;
    registration_protocol(registration_protocol&&) = delete;
    registration_protocol& operator=(registration_protocol&&) = delete;
    virtual ~registration_protocol() = default;

    virtual std::variant<runner_heartbeat, runner_deregistration, malformed_call>
    decode(const std::string& method, const std::string& path, const std::string& body) const = 0;
};

} // namespace egretstile::infrastructure
