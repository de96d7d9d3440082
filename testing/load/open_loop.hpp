#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace egretstile::load {

struct open_loop_settings {
    /// Calls a second; zero or less: none.
    double rate{0};
    std::uint32_t threads{1};
    std::chrono::seconds duration{0};
    std::uint64_t max_count{0};
};

/// Makes calls at even distances, each in the next free of several threads. A call for which no
/// thread is free is made late; `due` tells when it should have been. `call` runs in the thread
/// with number `thread` and must be thread-safe between threads. Returns after the last call.
void run_open_loop(const open_loop_settings& settings,
                   const std::function<void(std::uint32_t thread, std::uint64_t index,
                                            std::chrono::steady_clock::time_point due)>& call);

} // namespace egretstile::load
