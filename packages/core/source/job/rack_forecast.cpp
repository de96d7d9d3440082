#include <egretstile/core/job/rack_forecast.hpp>

#include <algorithm>
#include <functional>

namespace egretstile {

namespace {

/// Most places of one VM that are predicted.
constexpr std::size_t max_places_of_vm = 128;

} // namespace

boot_time expected_end_of(const vm_run& run, boot_time now) {
    if (run.expected_end == boot_time::max() || run.expected_end > now) {
        return run.expected_end;
    }
    return now + std::max<boot_clock::duration>((now - run.expected_end) / 2, run.likely_error);
}

rack_forecast::rack_forecast(const std::vector<vm_state*>& vms, const place_need& need,
                             boot_time now) {
    std::vector<expected_release> ends;
    for (const vm_state* const vm : vms) {
        add_places(*vm, need, now, ends);
    }
    std::make_heap(places_.begin(), places_.end(), std::greater<>());
}

void rack_forecast::add_places(const vm_state& vm, const place_need& need, boot_time now,
                               std::vector<expected_release>& ends) {
    ends.clear();
    for (const auto& [attempt, run] : vm.runs) {
        const boot_time end = expected_end_of(run, now);
        if (end != boot_time::max()) {
            ends.push_back({end, &run});
        }
    }
    if (need.filling_millicores > 0) {
        // A filling task reserves no processor time; a place for it is free when another filling
        // task ends, because whether one fits now depends on more than the runs.
        for (const expected_release& release : ends) {
            if (release.run->fills_idle_cpu &&
                release.run->requested_millicores >= need.filling_millicores) {
                places_.push_back(release.at);
            }
        }
        return;
    }
    std::sort(ends.begin(), ends.end(),
              [](const expected_release& left, const expected_release& right) {
                  return left.at < right.at;
              });
    const std::size_t most_places = need.max_per_vm == 0
                                        ? max_places_of_vm
                                        : std::min<std::size_t>(need.max_per_vm, max_places_of_vm);
    resources available = vm.runner.capacity - vm.reserved;
    // What one more task needs together with those that fit already.
    resources next_need = need.reserved;
    std::size_t places = 0;
    const auto add_fitting = [&](boot_time at) {
        for (; places < most_places && fits(next_need, available); ++places) {
            places_.push_back(at);
            next_need = next_need + need.reserved;
        }
    };
    add_fitting(now);
    free_places_ += places;
    for (const expected_release& release : ends) {
        available = available + release.run->reserved;
        add_fitting(release.at);
    }
}

std::optional<boot_time> rack_forecast::next() const {
    return places_.empty() ? std::nullopt : std::optional<boot_time>(places_.front());
}

void rack_forecast::take(boot_clock::duration run_time) {
    if (places_.empty()) {
        return;
    }
    std::pop_heap(places_.begin(), places_.end(), std::greater<>());
    places_.back() += run_time;
    free_places_ -= free_places_ > 0 ? 1 : 0;
    std::push_heap(places_.begin(), places_.end(), std::greater<>());
}

std::optional<boot_time> rack_forecast::when_free(std::size_t count) const {
    if (count == 0 || places_.size() < count) {
        return std::nullopt;
    }
    std::vector<boot_time> sorted = places_;
    const auto last = std::next(sorted.begin(), static_cast<std::ptrdiff_t>(count) - 1);
    std::nth_element(sorted.begin(), last, sorted.end());
    return *last;
}

} // namespace egretstile
