#include <egretstile/core/job/run_tracker.hpp>

#include <algorithm>

namespace egretstile {

namespace {

/// Number of reports whose time of sending is kept; more than are sent while a permission lasts.
constexpr std::size_t max_sent_reports = 2000;
/// Ends are counted in reports for this long.
constexpr milliseconds recent_end_age(10000);

bool contains_run(const std::vector<active_run>& runs, const task_attempt& run) {
    return std::any_of(runs.begin(), runs.end(),
                       [&run](const active_run& active) { return active.run == run; });
}

bool contains_run(const std::vector<ended_run>& runs, const task_attempt& run) {
    return std::any_of(runs.begin(), runs.end(),
                       [&run](const ended_run& ended) { return ended.run == run; });
}

} // namespace

run_tracker::run_tracker(const run_tracker_settings& settings,
                         std::optional<boot_time> former_calls_until)
    : settings_(settings)
    , late_leases_(settings.late_call_limit, longest_lease(settings.longest_runner_lease),
                   former_calls_until) {}

void run_tracker::apply_registration(const runner_registration& registration) {
    if (registration.instance != registration_.instance) {
        clear_runner_state();
        raise_fence();
        late_leases_.process_replaced();
        runner_end_ = runner_end_evidence::none;
        urgent_change_ = true;
    }
    if (registration.state != registration_.state) {
        urgent_change_ = true;
    }
    registration_ = registration;
}

void run_tracker::mark_runner_gone(runner_end_evidence evidence) {
    clear_runner_state();
    registration_.state = runner_state::absent;
    runner_end_ = evidence;
    urgent_change_ = true;
}

void run_tracker::raise_fence() {
    fence_confirmed_ = false;
    first_fence_.reset();
    if (fence_.process < max_fenced_processes) {
        ++fence_.process;
        first_fence_ = fence_;
    }
}

void run_tracker::fence_accepted(const runner_fence& accepted, boot_time now) {
    // Without a number of this agent's process, calls of a former one may have higher fences.
    if (accepted.agent != 0 && first_fence_ && !(accepted < *first_fence_)) {
        fence_confirmed_ = true;
        late_leases_.fence_confirmed(now);
    }
}

void run_tracker::clear_runner_state() {
    lists_known_ = false;
    lists_complete_ = false;
    active_.clear();
    ended_.clear();
    recent_ends_.clear();
    counted_end_ = 0;
    starts_.clear();
    stops_.clear();
    confirmed_.clear();
    attributes_.clear();
    for (const auto& [run, unanswered] : unanswered_starts_) {
        // Not sent again, because its time is over: `next_start` orders a stop.
        starts_[run] = {unanswered.order, boot_time(), unanswered.calls};
        attributes_[run] = unanswered.order;
    }
    rejected_.clear();
    acknowledged_ends_ = 0;
    clock_read_at_ = boot_time();
    leased_until_ = boot_time();
}

bool run_tracker::apply_orders(const vm_orders& orders, boot_time now) {
    if (orders.epoch < fence_.epoch) {
        return false;
    }
    if (orders.epoch > fence_.epoch) {
        fence_.epoch = orders.epoch;
        fence_.agent = 0;
        applied_order_number_ = 0;
        urgent_change_ = true;
    }
    fence_.agent = std::max(fence_.agent, orders.agent_number);
    applied_order_number_ = std::max(applied_order_number_, orders.number);
    const milliseconds permission(orders.permission_ms);
    if (const std::optional<boot_time> sent_at = report_sent_at(orders.answered_report)) {
        permission_until_ = std::max(permission_until_, *sent_at + permission);
        const std::uint64_t sequence = orders.answered_report;
        rejected_.erase(
            std::remove_if(rejected_.begin(), rejected_.end(),
                           [sequence](const std::pair<rejected_run, std::uint64_t>& row) {
                               return row.second != 0 && row.second <= sequence;
                           }),
            rejected_.end());
    }
    if (orders.runner_instance != registration_.instance) {
        for (const start_order& order : orders.starts) {
            reject(order.run, "other_life");
        }
        return true;
    }
    acknowledged_ends_ = std::max(acknowledged_ends_, orders.acknowledged_ends);
    for (const start_order& order : orders.attributes) {
        attributes_[order.run] = order;
    }
    const std::optional<boot_time> based_on = report_sent_at(orders.based_on_report);
    const boot_time not_after =
        based_on ? *based_on + milliseconds(orders.start_within_ms) : boot_time();
    for (const start_order& order : orders.starts) {
        if (registration_.state != runner_state::ready) {
            reject(order.run, "draining");
        } else if (is_silent(now)) {
            reject(order.run, "runner_silent");
        } else if (now >= not_after) {
            reject(order.run, "order_too_late");
        } else if (!is_listed(order.run) && starts_.count(order.run) == 0) {
            starts_[order.run] = {order, not_after};
            attributes_[order.run] = order;
        }
    }
    for (const task_attempt& run : orders.stops) {
        stops_.emplace(run, pending_stop());
    }
    return true;
}

std::optional<boot_time> run_tracker::report_sent_at(std::uint64_t sequence) const {
    const auto found = std::find_if(sent_reports_.rbegin(), sent_reports_.rend(),
                                    [sequence](const std::pair<std::uint64_t, boot_time>& sent) {
                                        return sent.first == sequence;
                                    });
    return found == sent_reports_.rend() ? std::nullopt : std::optional<boot_time>(found->second);
}

void run_tracker::remove_unanswered_call(const task_attempt& run) {
    const auto found = unanswered_starts_.find(run);
    if (found != unanswered_starts_.end() && --found->second.calls == 0) {
        unanswered_starts_.erase(found);
    }
}

void run_tracker::expire_unanswered_starts(boot_time now) {
    for (auto row = unanswered_starts_.begin(); row != unanswered_starts_.end();) {
        if (now < row->second.sent_at + settings_.late_call_limit) {
            ++row;
            continue;
        }
        if (registration_.state == runner_state::absent) {
            starts_.erase(row->first);
        }
        row = unanswered_starts_.erase(row);
    }
}

std::optional<start_order> run_tracker::next_start(boot_time now) {
    expire_unanswered_starts(now);
    if (registration_.state == runner_state::absent) {
        return std::nullopt;
    }
    for (auto row = starts_.begin(); row != starts_.end();) {
        const task_attempt run = row->first;
        pending_start& pending = row->second;
        if (pending.in_flight || stops_.count(run) != 0) {
            ++row;
            continue;
        }
        if (registration_.state == runner_state::ready && now < pending.not_after) {
            pending.in_flight = true;
            ++pending.tries;
            unanswered_start& unanswered = unanswered_starts_[run];
            unanswered.order = pending.order;
            unanswered.sent_at = now;
            ++unanswered.calls;
            return pending.order;
        }
        if (pending.tries > 0) {
            // An earlier try without an answer may still take effect; a confirmed stop rules that
            // out.
            stops_.emplace(run, pending_stop());
            ++row;
            continue;
        }
        row = starts_.erase(row);
        reject(run, registration_.state == runner_state::ready ? "order_too_late" : "draining");
    }
    return std::nullopt;
}

std::optional<task_attempt> run_tracker::next_stop() {
    if (registration_.state == runner_state::absent) {
        return std::nullopt;
    }
    for (auto& [run, pending] : stops_) {
        if (!pending.in_flight && !pending.confirmed_at_ms) {
            pending.in_flight = true;
            return run;
        }
    }
    return std::nullopt;
}

void run_tracker::start_done(const task_attempt& run, std::int64_t clock_ms) {
    if (registration_.state == runner_state::absent) {
        return; // The next process may have answered; its lists will show the run.
    }
    remove_unanswered_call(run);
    if (starts_.erase(run) != 0) {
        confirmed_[run] = clock_ms;
    }
}

void run_tracker::start_rejected(const task_attempt& run, const std::string& reason) {
    remove_unanswered_call(run);
    const auto found = starts_.find(run);
    if (found == starts_.end()) {
        return;
    }
    if (found->second.tries > 1) {
        // An earlier try without an answer may still take effect; a confirmed stop rules that out.
        stops_.emplace(run, pending_stop());
        return;
    }
    starts_.erase(found);
    reject(run, reason);
}

void run_tracker::start_superseded(const task_attempt& run, std::int64_t clock_ms) {
    start_done(run, clock_ms);
}

void run_tracker::start_unanswered(const task_attempt& run) {
    const auto found = starts_.find(run);
    if (found == starts_.end()) {
        return;
    }
    found->second.in_flight = false;
    if (found->second.tries >= settings_.max_start_tries) {
        // The start may still take effect; a confirmed stop rules that out.
        stops_.emplace(run, pending_stop());
    }
}

void run_tracker::stop_done(const task_attempt& run, std::int64_t clock_ms) {
    const auto found = stops_.find(run);
    if (found != stops_.end()) {
        found->second.in_flight = false;
        found->second.confirmed_at_ms = clock_ms;
    }
}

void run_tracker::stop_unanswered(const task_attempt& run) {
    const auto found = stops_.find(run);
    if (found != stops_.end()) {
        found->second.in_flight = false;
    }
}

void run_tracker::count_new_ends(boot_time now) {
    for (const ended_run& end : ended_) {
        if (end.number <= counted_end_) {
            continue;
        }
        counted_end_ = end.number;
        if (end.outcome == run_outcome::done || end.outcome == run_outcome::failed) {
            recent_ends_.emplace_back(now, end.outcome == run_outcome::done);
        }
    }
}

void run_tracker::replace_lists(run_lists&& lists) {
    const std::vector<active_run> former = std::exchange(active_, std::move(lists.active));
    ended_ = std::move(lists.ended);
    lists_complete_ = lists.complete;
    if (lists.complete) {
        return;
    }
    for (const active_run& run : former) {
        if (!is_listed(run.run)) {
            confirmed_.emplace(run.run, clock_ms_);
        }
    }
}

void run_tracker::apply_lists(run_lists&& lists, boot_time now) {
    const std::int64_t clock_ms = lists.clock_ms;
    if (lists_known_ && clock_ms < clock_ms_) {
        return; // A later answer on another connection has been applied already.
    }
    clock_ms_ = clock_ms;
    clock_read_at_ = now;
    if (leased_until_ == boot_time()) {
        // A previous agent process of this VM may have given a lease immediately before.
        leased_until_ = now + longest_lease(settings_.runner_lease);
    }
    const bool new_end = !lists.ended.empty() &&
                         (ended_.empty() || lists.ended.back().number > ended_.back().number);
    replace_lists(std::move(lists));
    count_new_ends(now);
    urgent_change_ = urgent_change_ || new_end || !lists_known_;
    lists_known_ = true;
    runner_end_ = runner_end_evidence::none;
    for (auto pending = starts_.begin(); pending != starts_.end();) {
        pending = is_listed(pending->first) ? starts_.erase(pending) : std::next(pending);
    }
    for (auto row = confirmed_.begin(); row != confirmed_.end();) {
        const bool listed = is_listed(row->first);
        if (row->second >= clock_ms || (!listed && !lists_complete_)) {
            ++row;
            continue;
        }
        if (!listed) {
            reject(row->first, "not_there");
        }
        row = confirmed_.erase(row);
    }
    for (auto row = stops_.begin(); row != stops_.end();) {
        const bool has_ended = contains_run(ended_, row->first);
        const bool absent = lists_complete_ && row->second.confirmed_at_ms &&
                            *row->second.confirmed_at_ms < clock_ms && !is_listed(row->first);
        if (!has_ended && !absent) {
            ++row;
            continue;
        }
        starts_.erase(row->first);
        confirmed_.erase(row->first);
        if (!has_ended) {
            reject(row->first, "stopped_before_start");
        }
        row = stops_.erase(row);
    }
}

std::optional<std::int64_t> run_tracker::lease_until_ms(boot_time now) {
    if (clock_read_at_ == boot_time() || now >= permission_until_ || is_silent(now)) {
        return std::nullopt;
    }
    const double slowest_rate = 1.0 - settings_.clock_drift;
    const std::int64_t elapsed =
        std::chrono::duration_cast<milliseconds>(now - clock_read_at_).count();
    const std::int64_t runner_now =
        clock_ms_ + static_cast<std::int64_t>(static_cast<double>(elapsed) * slowest_rate);
    const milliseconds length = std::min(
        settings_.runner_lease, std::chrono::duration_cast<milliseconds>(permission_until_ - now));
    const milliseconds longest(
        static_cast<std::int64_t>(static_cast<double>(length.count()) / slowest_rate));
    leased_until_ = std::max(leased_until_, now + longest + settings_.lapse_margin);
    late_leases_.lease_sent(now);
    return runner_now + length.count();
}

milliseconds run_tracker::longest_lease(milliseconds length) const {
    const double slowest_rate = 1.0 - settings_.clock_drift;
    return milliseconds(
               static_cast<std::int64_t>(static_cast<double>(length.count()) / slowest_rate)) +
           settings_.lapse_margin;
}

vm_report run_tracker::make_report(const vm_name& vm, boot_time now) {
    expire_unanswered_starts(now);
    vm_report report;
    report.vm = vm;
    report.sequence = ++report_count_;
    report.epoch = fence_.epoch;
    report.applied_order_number = applied_order_number_;
    report.runner = registration_;
    report.lists_known = lists_known_ && !is_silent(now);
    report.lists_complete = lists_complete_;
    report.runner_end = runner_end_;
    report.active = active_;
    const milliseconds late_lease = std::chrono::ceil<milliseconds>(late_leases_.ends_at() - now);
    report.late_lease_ms =
        static_cast<std::uint32_t>(std::max(late_lease, milliseconds(0)).count());
    for (const auto& [run, pending] : starts_) {
        report.starting.push_back(run);
    }
    for (const auto& [run, clock] : confirmed_) {
        if (!is_listed(run)) {
            report.starting.push_back(run);
        }
    }
    for (const ended_run& end : ended_) {
        if (end.number > acknowledged_ends_) {
            report.ended.push_back(end);
        }
    }
    for (std::pair<rejected_run, std::uint64_t>& row : rejected_) {
        row.second = row.second == 0 ? report_count_ : row.second;
        report.rejected.push_back(row.first);
    }
    while (!recent_ends_.empty() && now > recent_ends_.front().first + recent_end_age) {
        recent_ends_.pop_front();
    }
    for (const auto& [listed_at, done] : recent_ends_) {
        ++(done ? report.recent_done : report.recent_failed);
    }
    sent_reports_.emplace_back(report_count_, now);
    if (sent_reports_.size() > max_sent_reports) {
        sent_reports_.pop_front();
    }
    return report;
}

std::vector<task_attempt> run_tracker::unlisted() const {
    std::vector<task_attempt> runs;
    for (const auto& [run, clock] : confirmed_) {
        if (!is_listed(run)) {
            runs.push_back(run);
        }
    }
    return runs;
}

const start_order* run_tracker::attributes(const task_attempt& run) const {
    const auto found = attributes_.find(run);
    return found == attributes_.end() ? nullptr : &found->second;
}

void run_tracker::reject(const task_attempt& run, const std::string& reason) {
    attributes_.erase(run);
    rejected_.emplace_back(rejected_run{run, reason}, 0);
    urgent_change_ = true;
}

bool run_tracker::is_listed(const task_attempt& run) const {
    return contains_run(active_, run) || contains_run(ended_, run);
}

} // namespace egretstile
