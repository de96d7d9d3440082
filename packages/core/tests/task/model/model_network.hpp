#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace egretstile::testing {

/// Milliseconds since the start of a modelled run.
using model_time = std::int64_t;

/// A process that can be frozen; what reaches it meanwhile waits.
struct model_process {
    model_time paused_until{0};
    /// Until then an owner does not reach the register.
    model_time cut_off_until{0};
    /// Rises when the process restarts; its earlier timers and calls are void.
    std::uint64_t generation{0};
};

/// Time, timers and messages of a modelled run; the same seed gives the same run.
class model_network {
public:
    explicit model_network(std::uint64_t seed)
        : random_(seed) {}

    model_time now() const { return now_; }

    boot_time boot_now() const { return boot_time{milliseconds(start_of_clock + now_)}; }

    std::int64_t wall_now() const { return start_of_wall + now_; }

    /// Uniform in [low, high].
    model_time pick(model_time low, model_time high) {
        return std::uniform_int_distribution<model_time>(low, high)(random_);
    }

    bool chance(int per_mille) { return !quiet_ && pick(0, 999) < per_mille; }

    void after(model_time delay, std::function<void()> action) {
        events_.emplace(now_ + delay, std::move(action));
    }

    /// Runs the action in the process after the delay, and not before its pause is over. Nothing
    /// happens when the process restarts before.
    void in_process(const model_process& process, model_time delay, std::function<void()> action);

    /// One message to a process; may be dropped, delayed for seconds or doubled. Messages may
    /// overtake each other. A restart of the receiver does not void it.
    void send(const model_process& receiver, const std::function<void()>& deliver);

    /// Delay of one message or of one half of a call.
    model_time delay();

    /// Takes the next event when it is not later than `end`.
    bool run_next(model_time end);

    /// No more losses and long delays.
    void set_quiet() { quiet_ = true; }

    void set_lossy_until(model_time time) { lossy_until_ = time; }

private:
    static constexpr model_time start_of_clock = 1'000'000;
    static constexpr model_time start_of_wall = 1'700'000'000'000;

    void deliver_after(const model_process& receiver, model_time delay,
                       const std::function<void()>& deliver);

    std::mt19937_64 random_;
    model_time now_{0};
    bool quiet_{false};
    model_time lossy_until_{0};
    std::multimap<model_time, std::function<void()>> events_;
};

} // namespace egretstile::testing
