#include <egretstile/core/job/job_occurrences.hpp>

#include <algorithm>
#include <utility>

namespace egretstile {

namespace {

occurrence_state make_occurrence(const job_spec& spec, std::uint32_t number) {
    occurrence_state occurrence;
    occurrence.due_ms = due_time_ms(spec, number);
    for (const step_spec& step : spec.steps) {
        step_state state;
        state.tasks.resize(step.count);
        for (std::uint32_t index = 0; index < step.count; ++index) {
            state.waiting.insert(state.waiting.end(), index);
        }
        occurrence.steps.push_back(std::move(state));
    }
    return occurrence;
}

} // namespace

std::int64_t due_time_ms(const job_spec& spec, std::uint32_t occurrence) {
    return spec.schedule.repetitions == 0
               ? 0
               : spec.schedule.first_due_ms + occurrence * spec.schedule.interval_ms;
}

job_occurrences::job_occurrences(const job_spec& spec)
    : count_(std::max<std::uint32_t>(spec.schedule.repetitions, 1)) {
    if (spec.schedule.repetitions == 0) {
        open(spec, 0);
    }
}

occurrence_state* job_occurrences::open(const job_spec& spec, std::uint32_t number) {
    const auto found = open_.find(number);
    if (found != open_.end()) {
        return &found->second;
    }
    if (number >= count_ || boost::icl::contains(closed_, number)) {
        return nullptr;
    }
    occurrence_state& opened = open_.emplace(number, make_occurrence(spec, number)).first->second;
    skip_known();
    return &opened;
}

std::size_t job_occurrences::open_due(const job_spec& spec, std::int64_t wall_ms,
                                      std::size_t max_more) {
    const std::size_t limit =
        std::min(max_open_occurrences(spec), std::max<std::size_t>(open_.size() + max_more, 1));
    std::size_t opened = 0;
    while (next_ < count_ && due_time_ms(spec, next_) <= wall_ms && open_.size() < limit) {
        open(spec, next_);
        ++opened;
    }
    return opened;
}

void job_occurrences::close_done() {
    for (auto row = open_.begin(); row != open_.end();) {
        if (row->second.is_done() && row->second.run_count == 0) {
            closed_.add(row->first);
            row = open_.erase(row);
        } else {
            ++row;
        }
    }
}

void job_occurrences::close_idle() {
    closed_.add(number_set::interval_type::closed(0, count_ - 1));
    next_ = count_;
    std::erase_if(open_,
                  [](const container::value_type& row) { return row.second.run_count == 0; });
}

void job_occurrences::close_if_idle(std::uint32_t number) {
    const auto found = open_.find(number);
    if (found != open_.end() && found->second.run_count == 0) {
        closed_.add(number);
        open_.erase(found);
    }
}

bool job_occurrences::all_done() const {
    return next_ == count_ &&
           std::all_of(open_.begin(), open_.end(),
                       [](const container::value_type& row) { return row.second.is_done(); });
}

std::optional<std::uint32_t> job_occurrences::next() const {
    return next_ < count_ ? std::optional<std::uint32_t>(next_) : std::nullopt;
}

std::vector<occurrence_range> job_occurrences::done() const {
    number_set numbers = closed_;
    for (const auto& [number, occurrence] : open_) {
        if (occurrence.is_done()) {
            numbers.add(number);
        }
    }
    std::vector<occurrence_range> ranges;
    for (const number_set::interval_type& range : numbers) {
        ranges.push_back({boost::icl::first(range), boost::icl::last(range)});
    }
    return ranges;
}

void job_occurrences::restore_done(const std::vector<occurrence_range>& ranges) {
    for (const occurrence_range& range : ranges) {
        if (range.first > range.last || range.first >= count_) {
            continue;
        }
        const std::uint32_t last = std::min(range.last, count_ - 1);
        closed_.add(number_set::interval_type::closed(range.first, last));
        open_.erase(open_.lower_bound(range.first), open_.upper_bound(last));
    }
    skip_known();
}

void job_occurrences::skip_known() {
    while (next_ < count_) {
        const auto range = closed_.find(next_);
        if (range != closed_.end()) {
            next_ = boost::icl::last(*range) + 1;
        } else if (open_.count(next_) != 0) {
            ++next_;
        } else {
            return;
        }
    }
}

} // namespace egretstile
