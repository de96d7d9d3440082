#pragma once

#include <egretstile/infrastructure/runner/registration_protocol.hpp>

#include <cstdint>
#include <string>

namespace egretstile::daemon {

/// What a heartbeat says about the runner that is registered at an agent.
enum class heartbeat_verdict : std::uint8_t {
    stale,     ///< Sent before another heartbeat that has been taken; to be ignored.
    refreshed, ///< A later heartbeat of the registered instance.
    replaced   ///< The first heartbeat of another instance.
};

/// Identity of the runner instance that is registered at an agent. Tells delayed heartbeats from
/// those of a new instance. For one thread only.
class registered_runner {
public:
    /// Empty until a runner has registered.
    const std::string& id() const { return id_; }

    /// Whether the registered instance started at this wall-clock time.
    bool started_at(std::int64_t instance_start_ms) const { return start_ms_ == instance_start_ms; }

    /// Decides about a heartbeat and takes it unless it is stale. An instance that started earlier
    /// than the registered one is taken only when it is the one that answers calls: its clock may
    /// have been set back, or the registered start time may come from another writer.
    heartbeat_verdict apply(const infrastructure::runner_heartbeat& heartbeat);

    /// Records the start time that the runner states in its answers to calls; zero: none stated.
    void observe_answer(std::int64_t instance_start_ms);

private:
    std::string id_;
    std::int64_t start_ms_{0};
    std::uint64_t sequence_{0};
    std::int64_t answering_start_ms_{0};
};

} // namespace egretstile::daemon
