#include <egretstile/core/job/adopted_config.hpp>

#include <algorithm>

namespace egretstile {

bool adopted_config::adopt(const operator_config& config) {
    if (config_ && config.version < config_->version) {
        return false;
    }
    config_ = config;
    return true;
}

void adopted_config::confirm(std::uint64_t version, boot_time time) {
    if (!config_ || config_->version < version) {
        return;
    }
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, time) : time;
}

bool adopted_config::is_current(boot_time now) const {
    return confirmed_at_ && now <= *confirmed_at_ + age_limit_;
}

} // namespace egretstile
