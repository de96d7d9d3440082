#include "open_loop.hpp"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace egretstile::load {

void run_open_loop(const open_loop_settings& settings,
                   const std::function<void(std::uint32_t, std::uint64_t,
                                            std::chrono::steady_clock::time_point)>& call) {
    if (settings.rate <= 0) {
        return;
    }
    using clock = std::chrono::steady_clock;
    const auto calls =
        static_cast<std::uint64_t>(settings.rate * static_cast<double>(settings.duration.count()));
    const std::uint64_t limit = std::min(calls, settings.max_count);
    const clock::time_point begin = clock::now();
    // Late calls are still made until this time; the remaining ones are dropped.
    const clock::time_point end = begin + settings.duration + settings.duration / 2;
    std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint32_t thread = 0; thread < settings.threads; ++thread) {
        threads.emplace_back([&, thread] {
            for (std::uint64_t index = next++; index < limit; index = next++) {
                const std::chrono::duration<double> offset(static_cast<double>(index) /
                                                           settings.rate);
                const clock::time_point due =
                    begin + std::chrono::duration_cast<clock::duration>(offset);
                std::this_thread::sleep_until(due);
                if (clock::now() > end) {
                    return;
                }
                call(thread, index, due);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

} // namespace egretstile::load
