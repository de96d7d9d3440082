#include "proxy/link_control.hpp"

namespace egretstile::standins {

void link_control::set_rule(const link_rule& rule) {
    const std::lock_guard lock(mutex_);
    rule_ = rule;
}

void link_control::set_target(const link_target& target) {
    const std::lock_guard lock(mutex_);
    target_ = target;
}

link_target link_control::target() const {
    const std::lock_guard lock(mutex_);
    return target_;
}

void link_control::reset_connections() {
    const std::lock_guard lock(mutex_);
    ++resets_;
}

std::uint64_t link_control::resets() const {
    const std::lock_guard lock(mutex_);
    return resets_;
}

bool link_control::is_cut(link_direction direction) const {
    const std::lock_guard lock(mutex_);
    return rule_.mode == link_mode::cut && rule_.applies_to(direction);
}

chunk_action link_control::next_chunk(link_direction direction) {
    const std::lock_guard lock(mutex_);
    if (!rule_.applies_to(direction)) {
        return {};
    }
    const chunk_action action{rule_.mode, rule_.bytes, rule_.delay};
    const bool counted = rule_.mode != link_mode::none && rule_.mode != link_mode::cut;
    if (counted && --rule_.count == 0) {
        rule_.mode = link_mode::none;
    }
    return action;
}

void link_control::count_connection() {
    const std::lock_guard lock(mutex_);
    ++counts_.connections;
}

void link_control::count_bytes(link_direction direction, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    (direction == link_direction::to_target ? counts_.bytes_to_target : counts_.bytes_to_client) +=
        bytes;
}

link_counts link_control::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace egretstile::standins
