#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace egretstile {

/// Run times relative to the estimates of their tasks.
struct run_time_ratio {
    double mean{1.0};
    /// Mean absolute deviation from `mean`, as a share of it.
    double spread{0.2};
    std::uint32_t runs{0};
};

/// Learns by image how long tasks run in relation to their estimates, near their data and away from
/// it. Not thread-safe.
class run_time_history {
public:
    /// Records a run that ended as done. `remote`: it ran away from the rack that holds its data.
    /// Does nothing when `estimate` is zero.
    void record(const std::string& image, bool remote, milliseconds estimate,
                boot_clock::duration run_time);

    /// Of runs near their data, or of tasks without such a rack.
    const run_time_ratio& near_ratio(const std::string& image) const;

    /// Factor by which a task of the image takes longer away from its data: `configured`, replaced
    /// by the learned factor as runs of both kinds are recorded. At least 1.
    double remote_factor(const std::string& image, double configured) const;

private:
    struct ratios {
        run_time_ratio near;
        run_time_ratio remote;
    };

    const ratios& ratios_of(const std::string& image) const;

    std::map<std::string, ratios> by_image_;
    /// Of images that are not in `by_image_`.
    ratios others_;
};

} // namespace egretstile
