#include <egretstile/core/job/vm_speed.hpp>

#include <chrono>
#include <cmath>

namespace egretstile {

vm_speed::vm_speed(const vm_speed_settings& settings)
    : settings_(settings) {}

void vm_speed::observe(milliseconds worth, milliseconds elapsed, boot_time now) {
    const double weight = weight_at(now);
    worth_ = worth_ * weight + static_cast<double>(worth.count());
    elapsed_ = elapsed_ * weight + static_cast<double>(elapsed.count());
    observed_at_ = now;
}

double vm_speed::value(boot_time now) const {
    const double weight = weight_at(now);
    const double prior = static_cast<double>(settings_.prior.count());
    return (worth_ * weight + prior) / (elapsed_ * weight + prior);
}

double vm_speed::weight_at(boot_time now) const {
    using seconds = std::chrono::duration<double>;
    return std::exp(-seconds(now - observed_at_).count() / seconds(settings_.memory).count());
}

} // namespace egretstile
