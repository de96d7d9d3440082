#include "wait_until.hpp"

#include <thread>

namespace egretstile::harness {

namespace {

constexpr std::chrono::milliseconds check_interval{5};

} // namespace

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return condition();
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

} // namespace egretstile::harness
