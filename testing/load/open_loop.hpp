#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace egretstile::load {

struct open_loop_settings {
    /// Calls a second; no calls are made when it is zero or negative.
    double rate{0};
    std::uint32_t threads{1};
    std::chrono::seconds duration{0};
    std::uint64_t max_count{0};
};

/// Makes calls at even intervals, each in the next free one of several threads. A call for which no
/// thread is free is made late; `due` is the time at which it should have been made. `call` runs
/// concurrently in several threads, whose numbers it gets, and must be thread-safe. Returns after
/// the last call.
void run_open_loop(const open_loop_settings& settings,
                   const std::function<void(std::uint32_t thread, std::uint64_t index,
                                            std::chrono::steady_clock::time_point due)>& call);

} // namespace egretstile::load
