#include "load_settings.hpp"

#include <algorithm>

namespace egretstile::load {

void apply_limits(load_settings& settings) {
    settings.duration = std::min(settings.duration, longest_duration);
    settings.tasks.follow = std::min(settings.tasks.follow, longest_duration);
    settings.max_count = std::min(settings.max_count, largest_count);
    settings.requests.threads = std::clamp(settings.requests.threads, 1U, most_threads);
    settings.tasks.threads = std::clamp(settings.tasks.threads, 1U, most_threads);
}

} // namespace egretstile::load
