#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/job/operator_config.hpp>

#include <cstdint>
#include <optional>

namespace egretstile {

/// The newest version of the operators' configuration that a process has read, and the time at
/// which that version was last confirmed to be the newest. Not thread-safe.
class adopted_config {
public:
    /// Operators expect a change to be in force everywhere within `age_limit`.
    explicit adopted_config(milliseconds age_limit)
        : age_limit_(age_limit) {}

    /// Nothing until a configuration was adopted.
    const std::optional<operator_config>& config() const { return config_; }

    /// Zero until a configuration was adopted.
    std::uint64_t version() const { return config_ ? config_->version : 0; }

    /// Adopts the configuration unless a later version is held; returns whether it was adopted.
    bool adopt(const operator_config& config);

    /// Records that at `time` there was no version later than `version`. Has no effect when an
    /// earlier version is held.
    void confirm(std::uint64_t version, boot_time time);

    /// Nothing until the configuration was confirmed.
    std::optional<boot_time> confirmed_at() const { return confirmed_at_; }

    /// Whether the configuration was confirmed within the age limit before `now`. Otherwise a later
    /// version may have to be in force already, so nothing may be refused for good by this one.
    bool is_current(boot_time now) const;

private:
    milliseconds age_limit_;
    std::optional<operator_config> config_;
    std::optional<boot_time> confirmed_at_;
};

} // namespace egretstile
