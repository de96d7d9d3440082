#include "load_report.hpp"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace egretstile::load {

namespace {

/// Nearest-rank percentile; `sorted` may be empty.
std::int64_t percentile_of(const std::vector<std::int64_t>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

void load_report::add(call_result result, std::chrono::microseconds latency) {
    const std::lock_guard lock(mutex_);
    ++counts_[result];
    if (result == call_result::answered) {
        latencies_us_.push_back(latency.count());
    }
}

void load_report::add_state(const std::string& state) {
    const std::lock_guard lock(mutex_);
    ++states_[state];
}

std::uint64_t load_report::count(call_result result) const {
    const std::lock_guard lock(mutex_);
    const auto found = counts_.find(result);
    return found == counts_.end() ? 0 : found->second;
}

std::int64_t load_report::percentile_us(double share) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::int64_t> sorted = latencies_us_;
    std::sort(sorted.begin(), sorted.end());
    return percentile_of(sorted, share);
}

std::map<std::string, std::uint64_t> load_report::states() const {
    const std::lock_guard lock(mutex_);
    return states_;
}

std::string load_report::to_json() const {
    Poco::JSON::Object object;
    const std::uint64_t answered = count(call_result::answered);
    const std::uint64_t not_run = count(call_result::not_run);
    const std::uint64_t unknown = count(call_result::unknown);
    const std::uint64_t wrong = count(call_result::wrong);
    object.set("sent", answered + not_run + unknown + wrong);
    object.set("answered", answered);
    object.set("not_run", not_run);
    object.set("unknown", unknown);
    object.set("wrong", wrong);
    object.set("p50_us", percentile_us(0.5));
    object.set("p99_us", percentile_us(0.99));
    object.set("p99_9_us", percentile_us(0.999));
    object.set("max_us", percentile_us(1.0));
    const std::lock_guard lock(mutex_);
    if (!states_.empty()) {
        Poco::JSON::Object states;
        for (const auto& [state, tasks] : states_) {
            states.set(state, tasks);
        }
        object.set("states", states);
    }
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

} // namespace egretstile::load
