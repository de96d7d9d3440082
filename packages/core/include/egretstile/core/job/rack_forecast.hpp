#pragma once

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/core/base/resources.hpp>
#include <egretstile/core/job/vm_table.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace egretstile {

/// What one task of a step takes up on a VM.
struct place_need {
    resources reserved;
    /// Processor time that a filling task would use; zero for any other task.
    std::int64_t filling_millicores{0};
    /// Most tasks of the step on one VM; zero: no limit.
    std::uint32_t max_per_vm{0};

    friend bool operator==(const place_need&, const place_need&) = default;
};

/// Predicts when places for tasks of one need become free on the VMs of a rack, from the expected
/// ends of the runs there. Not thread-safe.
class rack_forecast {
public:
    /// `vms` are the VMs of the rack that may take the task once they have room. A run without an
    /// expected end is taken never to end. Precondition: no pointer is null.
    rack_forecast(const std::vector<vm_state*>& vms, const place_need& need, boot_time now);

    /// Number of tasks that fit now, without the places that were taken.
    std::size_t free_places() const { return free_places_; }

    /// When the next place that is not taken becomes free; nothing when none is expected to.
    std::optional<boot_time> next() const;

    /// Gives the next place to a task, which frees it again after `run_time`. Does nothing when
    /// there is none.
    void take(boot_clock::duration run_time);

    /// When `count` tasks fit at the same time, if no other task starts until then; nothing when
    /// they are not expected to. Precondition: `take` was not called.
    std::optional<boot_time> when_free(std::size_t count) const;

private:
    /// A run that releases its resources when it ends.
    struct expected_release {
        boot_time at{};
        const vm_run* run{nullptr};
    };

    /// `ends` is reused between VMs to save allocations; its contents are replaced.
    void add_places(const vm_state& vm, const place_need& need, boot_time now,
                    std::vector<expected_release>& ends);

    /// Heap with the earliest place first.
    std::vector<boot_time> places_;
    std::size_t free_places_{0};
};

/// When the run is expected to end. A run beyond its expected end takes longer by the share of its
/// run time by which the estimates are off, or by half of the time it is over, if that is longer.
/// `boot_time::max()`: it is not known, or the run does not end. Thread-safe.
boot_time expected_end_of(const vm_run& run, boot_time now);

} // namespace egretstile
