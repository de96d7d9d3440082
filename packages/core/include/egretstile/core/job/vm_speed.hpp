#pragma once

#include <egretstile/core/base/boot_time.hpp>

namespace egretstile {

struct vm_speed_settings {
    /// How fast older observations lose weight. Below the length of the usual slow periods (5 s),
    /// above the time between two reports (0.5 s).
    milliseconds memory{2000};
    /// Weight of the assumption that the VM is as fast as the estimates say: as much as one task
    /// that is watched for half a second.
    milliseconds prior{500};
};

/// How fast a VM works in proportion to the callers' estimates, seen from the progress of its
/// tasks. Not thread-safe; `now` must not go back.
class vm_speed {
public:
    explicit vm_speed(const vm_speed_settings& settings = {});

    /// A task has worked for `elapsed` and has come as far as estimated for `worth`.
    void observe(milliseconds worth, milliseconds elapsed, boot_time now);

    /// 1: as fast as estimated, also when nothing was observed lately.
    double value(boot_time now) const;

private:
    double weight_at(boot_time now) const;

    vm_speed_settings settings_;
    /// In milliseconds, with the weight of `observed_at_`.
    double worth_{0};
    double elapsed_{0};
    boot_time observed_at_{};
};

} // namespace egretstile
