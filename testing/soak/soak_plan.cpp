#include "soak_plan.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace egretstile::soak {

namespace {

using namespace platform::standins;

/// Faults come in this many series at once, so that they overlap.
constexpr std::size_t series_of_faults = 3;
constexpr milliseconds longest_gap_of_series{1500};
/// A fault begins only when its target has been without one for this long.
constexpr milliseconds shortest_rest{700};
constexpr milliseconds shortest_fault{150};
constexpr milliseconds longest_short_fault{1200};
constexpr milliseconds longest_fault{6000};
constexpr milliseconds longest_store_fault{4500};
/// A runner that deregisters waits up to 1 s for the answer before its process ends.
constexpr milliseconds shortest_deregistration{1200};
constexpr milliseconds shortest_claims{3000};
constexpr milliseconds longest_pause_of_jobs{700};
constexpr milliseconds longest_time_to_cancel{4000};
constexpr std::size_t most_tasks = 8;
constexpr std::size_t id_digits = 16;

/// Draws that are the same with every standard library.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed) {}

    /// Precondition: `bound` is not zero.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(engine_() % bound); }

    milliseconds between(milliseconds low, milliseconds high) {
        return low + milliseconds(below(static_cast<std::size_t>((high - low).count()) + 1));
    }

    bool one_in(std::size_t count) { return below(count) == 0; }

private:
    std::mt19937_64 engine_;
};

std::size_t draw_target(random_source& random, fault_target target, const soak_options& options) {
    if (target == fault_target::store) {
        return 0;
    }
    return random.below(target == fault_target::entry ? options.entries : options.vms);
}

milliseconds draw_length(random_source& random, fault_kind kind) {
    if (kind == fault_kind::claims) {
        return random.between(shortest_claims, longest_fault);
    }
    if (kind == fault_kind::store_down) {
        return random.between(shortest_fault, longest_store_fault);
    }
    const milliseconds shortest =
        kind == fault_kind::runner_deregistered ? shortest_deregistration : shortest_fault;
    return random.between(shortest, random.one_in(2) ? longest_fault
                                                     : std::max(shortest, longest_short_fault));
}

std::vector<fault> draw_faults(random_source& random, const soak_options& options) {
    std::vector<fault> faults;
    std::map<std::pair<fault_target, std::size_t>, milliseconds> free_from;
    std::vector<milliseconds> series(series_of_faults);
    while (true) {
        // The series that is behind goes on, so that faults are drawn in the order of time.
        const auto next = std::min_element(series.begin(), series.end());
        *next += random.between(milliseconds(0), longest_gap_of_series);
        if (*next >= options.duration) {
            break;
        }
        fault drawn;
        drawn.start = *next;
        drawn.kind = fault_names.at(random.below(fault_names.size())).value;
        drawn.target = draw_target(random, target_of(drawn.kind), options);
        drawn.claim = claim_names.at(random.below(claim_names.size())).value;
        drawn.end =
            std::min<milliseconds>(drawn.start + draw_length(random, drawn.kind), options.duration);
        milliseconds& free = free_from[{target_of(drawn.kind), drawn.target}];
        if (options.without.count(drawn.kind) != 0 || drawn.start < free) {
            continue;
        }
        free = drawn.end + shortest_rest;
        *next = drawn.end;
        faults.push_back(drawn);
    }
    std::stable_sort(faults.begin(), faults.end(), [](const fault& first, const fault& second) {
        return first.start < second.start;
    });
    return faults;
}

std::string draw_id(random_source& random) {
    std::string id;
    while (id.size() < id_digits) {
        id += "0123456789abcdef"[random.below(16)];
    }
    return id;
}

planned_job draw_job(random_source& random, milliseconds submitted, const soak_options& options) {
    planned_job job;
    job.id = draw_id(random);
    job.submitted = submitted;
    job.entry = random.below(options.entries);
    job.tasks = 1 + random.below(most_tasks);
    job.task_duration = random.one_in(2) ? random.between(milliseconds(50), milliseconds(500))
                                         : random.between(milliseconds(2000), milliseconds(7000));
    job.cpu_millicores = 500 + static_cast<std::int64_t>(random.below(4000));
    if (random.one_in(6)) {
        job.cancelled = submitted + random.between(milliseconds(0), longest_time_to_cancel);
    }
    return job;
}

} // namespace

fault_target target_of(fault_kind kind) {
    switch (kind) {
    case fault_kind::entry_killed:
    case fault_kind::entry_frozen:
    case fault_kind::entry_terminated:
        return fault_target::entry;
    case fault_kind::agent_killed:
    case fault_kind::agent_frozen:
    case fault_kind::agent_terminated:
        return fault_target::agent;
    case fault_kind::runner_ended:
    case fault_kind::runner_deregistered:
        return fault_target::runner;
    case fault_kind::answers_lost:
        return fault_target::answers;
    case fault_kind::store_down:
        return fault_target::store;
    case fault_kind::claims:
        return fault_target::claims;
    }
    return fault_target::claims;
}

soak_plan make_plan(const soak_options& options) {
    // Jobs have draws of their own, so that faults that are left out change no job.
    random_source of_jobs(options.seed * 2);
    random_source of_faults(options.seed * 2 + 1);
    soak_plan plan;
    plan.faults = draw_faults(of_faults, options);
    milliseconds time{0};
    while (time < options.duration) {
        plan.jobs.push_back(draw_job(of_jobs, time, options));
        time += of_jobs.between(milliseconds(0), longest_pause_of_jobs);
    }
    return plan;
}

std::string to_text(milliseconds time) {
    std::ostringstream text;
    text << time.count() / 1000 << '.' << std::setw(3) << std::setfill('0') << time.count() % 1000
         << " s";
    return text.str();
}

std::string to_text(const soak_plan& plan) {
    std::multimap<milliseconds, std::string> lines;
    for (const fault& planned : plan.faults) {
        std::string line = std::string(name_of(fault_names, planned.kind)) + " " +
                           std::to_string(planned.target) + " until " + to_text(planned.end);
        if (planned.kind == fault_kind::claims) {
            line += " " + std::string(name_of(claim_names, planned.claim));
        }
        lines.emplace(planned.start, line);
    }
    for (const planned_job& job : plan.jobs) {
        lines.emplace(job.submitted, "submit " + job.id + " at entry " + std::to_string(job.entry) +
                                         ", " + std::to_string(job.tasks) + " tasks of " +
                                         to_text(job.task_duration));
        if (job.cancelled) {
            lines.emplace(*job.cancelled, "cancel " + job.id);
        }
    }
    std::string text;
    for (const auto& [time, line] : lines) {
        text += "  " + to_text(time) + " " + line + "\n";
    }
    return text;
}

} // namespace egretstile::soak
