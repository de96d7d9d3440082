#include <egretstile/core/job/locality_wait.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// A wait begins when it is expected to save at least this share of the run time, and ends when it
/// is expected to cost more than this share. The difference keeps small changes of a prediction
/// from ending waits.
constexpr double begin_margin = 0.05;
constexpr double end_margin = 0.10;
/// How long a rack counts as wanted after it had no room for a task.
constexpr milliseconds wanted_time(1000);
/// Weight of the latest wait in the learned ratio, and bounds of a wait's and the learned ratio.
constexpr double delay_weight = 0.05;
constexpr double smallest_sample = 0.25;
constexpr double largest_sample = 4.0;
constexpr double smallest_delay_ratio = 0.5;
constexpr double largest_delay_ratio = 3.0;
/// Shorter predictions count as this long when they are compared with the actual wait, because the
/// leader learns of ends only with the agents' reports.
constexpr milliseconds shortest_prediction(20);

milliseconds scaled(milliseconds time, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

/// Times until the task's end.
struct ends {
    milliseconds near_at_once{0};
    milliseconds near_after_wait{0};
    milliseconds remote{0};
};

/// The longest useful wait: the run time that it can save, and no longer than a start still meets
/// the objective, elsewhere if possible and otherwise near the data.
milliseconds longest_wait(const wait_case& known, const ends& expected) {
    const milliseconds saved = expected.remote - expected.near_at_once;
    if (!known.due_in) {
        return saved;
    }
    if (expected.remote <= *known.due_in) {
        return std::min(saved, *known.due_in - expected.remote);
    }
    if (expected.near_at_once <= *known.due_in) {
        return std::min(saved, *known.due_in - expected.near_at_once);
    }
    return saved;
}

std::pair<bool, milliseconds> benefit_of(const wait_case& known, const ends& expected) {
    const bool decides_objective =
        known.due_in && expected.near_at_once <= *known.due_in && expected.remote > *known.due_in;
    return {decides_objective, expected.remote - expected.near_at_once};
}

ends ends_of(const wait_case& known, double delay_ratio) {
    ends expected;
    expected.near_at_once = known.restore_time + known.run_time;
    expected.near_after_wait =
        expected.near_at_once + scaled(known.near_free_in.value_or(milliseconds(0)), delay_ratio);
    expected.remote = known.restore_time + scaled(known.run_time, known.remote_factor);
    return expected;
}

} // namespace

std::vector<std::pair<task_ref, near_wait>> locality_wait::begin_pass(boot_time now) {
    std::vector<std::pair<task_ref, near_wait>> dropped;
    for (auto rack = waits_.begin(); rack != waits_.end();) {
        for (auto row = rack->second.begin(); row != rack->second.end();) {
            if (std::exchange(row->second.renewed, false)) {
                ++row;
                continue;
            }
            if (!row->second.over) {
                count_end(row->second, wait_end::dropped, now);
                dropped.emplace_back(row->first, row->second);
            }
            row = rack->second.erase(row);
        }
        rack = rack->second.empty() ? waits_.erase(rack) : std::next(rack);
    }
    wanted_racks_.clear();
    for (auto row = wanted_until_.begin(); row != wanted_until_.end();) {
        if (now < row->second) {
            wanted_racks_.insert(row->first);
            ++row;
        } else {
            row = wanted_until_.erase(row);
        }
    }
    return dropped;
}

wait_verdict locality_wait::decide(const task_ref& task, const wait_case& known, boot_time now) {
    wanted_until_[known.rack] = now + wanted_time;
    const ends expected = ends_of(known, delay_ratio_);
    std::map<task_ref, near_wait>& waits = waits_[known.rack];
    const auto found = waits.find(task);
    if (found != waits.end()) {
        near_wait& wait = found->second;
        wait.renewed = true;
        wait.over = wait.over || !known.near_free_in || now >= wait.until ||
                    expected.near_after_wait > expected.remote + scaled(known.run_time, end_margin);
        return wait.over ? wait_verdict::start : wait_verdict::goes_on;
    }
    if (!known.near_free_in) {
        return wait_verdict::start;
    }
    const milliseconds predicted = expected.near_after_wait - expected.near_at_once;
    const milliseconds longest = longest_wait(known, expected);
    if (predicted > longest ||
        expected.near_after_wait + scaled(known.run_time, begin_margin) >= expected.remote) {
        return wait_verdict::start;
    }
    near_wait& wait = waits[task];
    wait.since = now;
    wait.until = now + longest;
    wait.longest = longest;
    wait.predicted = predicted;
    wait.near_end = expected.near_after_wait;
    wait.remote_end = expected.remote;
    wait.benefit = benefit_of(known, expected);
    wait.priority = known.priority;
    wait.need = known.need;
    wait.renewed = true;
    ++totals_.begun;
    return wait_verdict::begins;
}

void locality_wait::renew_without_alternative(const task_ref& task, const std::string& rack,
                                              boot_time now) {
    const auto waits = waits_.find(rack);
    if (waits == waits_.end()) {
        return;
    }
    const auto found = waits->second.find(task);
    if (found != waits->second.end()) {
        found->second.over = false;
        found->second.until = now + found->second.longest;
    }
}

std::optional<near_wait> locality_wait::finish(const task_ref& task, const std::string& rack,
                                               wait_end end, boot_time now) {
    const auto waits = waits_.find(rack);
    if (waits == waits_.end()) {
        return std::nullopt;
    }
    const auto found = waits->second.find(task);
    if (found == waits->second.end()) {
        return std::nullopt;
    }
    const near_wait ended = found->second;
    waits->second.erase(found);
    if (waits->second.empty()) {
        waits_.erase(waits);
    }
    learn_delay(ended, end, now);
    count_end(ended, end, now);
    return ended;
}

const near_wait* locality_wait::find(const task_ref& task, const std::string& rack) const {
    const auto waits = waits_.find(rack);
    if (waits == waits_.end()) {
        return nullptr;
    }
    const auto found = waits->second.find(task);
    return found == waits->second.end() ? nullptr : &found->second;
}

std::size_t locality_wait::count_ahead(const task_ref& task, const wait_case& known) const {
    const auto waits = waits_.find(known.rack);
    if (waits == waits_.end()) {
        return 0;
    }
    const std::pair<bool, milliseconds> benefit = benefit_of(known, ends_of(known, delay_ratio_));
    return static_cast<std::size_t>(std::count_if(
        waits->second.begin(), waits->second.end(),
        [&](const std::pair<const task_ref, near_wait>& row) {
            const near_wait& other = row.second;
            return !other.over && other.priority <= known.priority && other.benefit > benefit &&
                   fits(other.need, known.need) && !(row.first == task);
        }));
}

bool locality_wait::is_awaited(const std::string& rack) const {
    const auto waits = waits_.find(rack);
    return waits != waits_.end() &&
           std::any_of(
               waits->second.begin(), waits->second.end(),
               [](const std::pair<const task_ref, near_wait>& row) { return !row.second.over; });
}

void locality_wait::learn_delay(const near_wait& ended, wait_end end, boot_time now) {
    // A wait that ended early, because the rack is gone or the prediction changed, tells nothing.
    if (end == wait_end::remote && now < ended.until) {
        return;
    }
    const boot_clock::duration predicted =
        std::max<boot_clock::duration>(ended.predicted, shortest_prediction);
    // `predicted` contains the ratio that was known then.
    const double sample = delay_ratio_ * std::chrono::duration<double>(now - ended.since).count() /
                          std::chrono::duration<double>(predicted).count();
    delay_ratio_ +=
        delay_weight * (std::clamp(sample, smallest_sample, largest_sample) - delay_ratio_);
    delay_ratio_ = std::clamp(delay_ratio_, smallest_delay_ratio, largest_delay_ratio);
}

void locality_wait::count_end(const near_wait& ended, wait_end end, boot_time now) {
    totals_.waited += now - ended.since;
    switch (end) {
    case wait_end::near:
        ++totals_.ended_near;
        break;
    case wait_end::remote:
        ++totals_.ended_remote;
        break;
    case wait_end::dropped:
        ++totals_.dropped;
        break;
    }
}

} // namespace egretstile
