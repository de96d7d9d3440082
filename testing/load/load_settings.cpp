#include "load_settings.hpp"

#include <algorithm>

namespace egretstile::load {

void apply_limits(load_settings& settings) {
    settings.duration = std::min(settings.duration, max_duration);
    settings.tasks.follow = std::min(settings.tasks.follow, max_duration);
    settings.max_count = std::min(settings.max_count, max_call_count);
    settings.requests.threads = std::clamp(settings.requests.threads, 1U, max_threads);
    settings.tasks.threads = std::clamp(settings.tasks.threads, 1U, max_threads);
}

} // namespace egretstile::load
