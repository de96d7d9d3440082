#pragma once

#include <egretstile/core/job/runner_types.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace egretstile::infrastructure {

/// A runner says what it is; repeated at the heartbeat interval.
struct runner_heartbeat {
    std::string runner_id;
    /// Rises with each heartbeat of one life, so that a late one is recognised.
    std::uint64_t sequence{0};
    /// Wall-clock start of this life; tells lives with the same id apart.
    std::int64_t born_ms{0};
    runner_registration registration;
};

/// The runner ends now.
struct runner_departure {
    std::string runner_id;
};

struct malformed_call {
    std::string reason;
};

/// How a runner registers with the agent of its VM. Thread-safe.
class registration_protocol {
public:
    registration_protocol() = default;
    registration_protocol(const registration_protocol&) = delete;
    registration_protocol& operator=(const registration_protocol&) = delete;
    registration_protocol(registration_protocol&&) = delete;
    registration_protocol& operator=(registration_protocol&&) = delete;
    virtual ~registration_protocol() = default;

    virtual std::variant<runner_heartbeat, runner_departure, malformed_call>
    decode(const std::string& method, const std::string& path, const std::string& body) const = 0;
};

} // namespace egretstile::infrastructure
