#pragma once

#include <egretstile/core/base/identifiers.hpp>

#include <cstdint>
#include <tuple>

namespace egretstile {

/// Orders the calls to a runner. A process of a runner carries out no call whose fence is lower
/// than the highest it has seen, so the first call that was meant for it shuts out those that were
/// meant for a former process. Compared by epoch, then agent, then process.
struct runner_fence {
    /// Epoch of the leader that the agent follows.
    epoch_number epoch{0};
    /// Number of the agent's process, given by that leader; zero: not given yet.
    std::uint32_t agent{0};
    /// Number of the runner's process, counted by the agent's process.
    std::uint32_t process{0};

    friend bool operator==(const runner_fence&, const runner_fence&) = default;

    friend bool operator<(const runner_fence& left, const runner_fence& right) {
        return std::tie(left.epoch, left.agent, left.process) <
               std::tie(right.epoch, right.agent, right.process);
    }
};

/// Largest `runner_fence::agent` and `runner_fence::process`, so that a fence fits into an integer
/// that every codec keeps.
inline constexpr std::uint32_t max_fenced_agents = (1U << 18) - 1;
inline constexpr std::uint32_t max_fenced_processes = (1U << 14) - 1;

} // namespace egretstile
