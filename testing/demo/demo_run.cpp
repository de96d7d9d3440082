#include "demo_run.hpp"

#include "http_call.hpp"
#include "request_load.hpp"
#include "task_load.hpp"
#include "vm_checks.hpp"
#include "wait_until.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <thread>

namespace egretstile::demo {

namespace {

constexpr std::size_t vms = 11;
constexpr std::size_t entries = 3;
constexpr std::size_t shards = 16;
constexpr const char* out_domain = "ub-central";
constexpr std::chrono::seconds load_time{24};
constexpr std::chrono::seconds ready_timeout{20};
/// Time within which a change of the plan must be in force everywhere.
constexpr milliseconds plan_bound{4000};

harness::cluster_options tuul_options() {
    const std::vector<failure_domain_name> domains{"ub-north", "ub-central", "ub-south"};
    harness::cluster_options options;
    options.entries = harness::spread_entries(entries, domains);
    options.vms = harness::spread_vms(vms, domains);
    for (harness::vm_options& vm : options.vms) {
        vm.capacity = {64'000, 250'000, 1};
        vm.arguments = {"--service", "lookup", "--service-us", "2000"};
    }
    return options;
}

std::string read_file(const std::string& path) {
    std::ifstream input(path);
    return {std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
}

Poco::JSON::Object::Ptr parse_object(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
}

std::size_t ready_upstreams(const Poco::JSON::Object::Ptr& status) {
    std::size_t ready = 0;
    const Poco::JSON::Array::Ptr rows = status->getArray("vms");
    for (unsigned i = 0; i < rows->size(); ++i) {
        ready += rows->getObject(i)->getValue<std::string>("upstream") == "ready" ? 1 : 0;
    }
    return ready;
}

demo_result informative(const std::string& measure, const std::string& value) {
    return {measure, value, "", true};
}

demo_result at_most(const std::string& measure, std::uint64_t value, std::uint64_t limit) {
    return {measure, std::to_string(value), "at most " + std::to_string(limit), value <= limit};
}

demo_result at_least(const std::string& measure, std::uint64_t value, std::uint64_t limit) {
    return {measure, std::to_string(value), "at least " + std::to_string(limit), value >= limit};
}

std::string milliseconds_text(std::int64_t microseconds) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f ms", static_cast<double>(microseconds) / 1000.0);
    return text.data();
}

std::uint64_t total_of(const load::load_report& report) {
    return report.count(load::call_result::answered) + report.count(load::call_result::not_run) +
           report.count(load::call_result::unknown) + report.count(load::call_result::wrong);
}

} // namespace

demo_run::demo_run()
    : cluster_(tuul_options()) {}

std::vector<demo_result> demo_run::run() {
    wait_until_ready();
    apply_sheet();
    load::load_report requests;
    load::load_report tasks;
    std::thread request_thread([&] { load::run_requests(request_load(), requests); });
    std::thread task_thread([&] { load::run_tasks(task_load(), tasks); });
    inject_faults();
    request_thread.join();
    task_thread.join();
    stop_entries();
    return evaluate(requests, tasks);
}

void demo_run::wait_until_ready() {
    const bool ready = harness::wait_until(
        [this] {
            std::size_t owned = 0;
            for (std::size_t entry = 0; entry < entries; ++entry) {
                const std::optional<harness::http_reply> reply =
                    cluster_.operator_call(entry, {"GET", "/v1/status", {}, {}});
                if (!reply || reply->status != 200) {
                    return false;
                }
                const Poco::JSON::Object::Ptr status = parse_object(reply->body);
                owned += status->getValue<std::size_t>("owned_shards");
                if (status->getValue<std::size_t>("entries") != entries ||
                    ready_upstreams(status) != vms) {
                    return false;
                }
            }
            return owned == shards;
        },
        ready_timeout);
    if (!ready) {
        throw std::runtime_error("the deployment was not ready within 20 s");
    }
}

void demo_run::apply_sheet() {
    const std::string sheet = read_file(std::string(EGRETSTILE_EXAMPLES_DIRECTORY) + "/tuul.csv");
    const std::optional<harness::http_reply> reply =
        cluster_.operator_call(0, {"POST", "/v1/sheet", sheet, {}});
    sheet_accepted_ = reply && reply->status == 200;
    if (!sheet_accepted_) {
        std::cerr << "demo: the sheet was refused: " << (reply ? reply->body : "no answer") << '\n';
    }
}

void demo_run::set_domain(const std::string& state) {
    const std::optional<harness::http_reply> reply = cluster_.operator_call(
        1, {"POST", std::string("/v1/domains/") + out_domain + "/" + state, {}, {}});
    if (!reply || reply->status != 200) {
        throw std::runtime_error("the state of the failure domain could not be changed");
    }
}

void demo_run::inject_faults() {
    constexpr std::chrono::seconds pause{3};
    std::this_thread::sleep_for(pause);
    set_domain("out");
    out_accepted_at_ = boot_now();
    std::this_thread::sleep_for(3 * pause);
    in_requested_at_ = boot_now();
    set_domain("in");
    std::this_thread::sleep_for(pause);
    cluster_.restart_agent(0);
    std::this_thread::sleep_for(pause);
    cluster_.restart_entry(2);
}

void demo_run::stop_entries() {
    constexpr std::chrono::seconds stop_timeout{20};
    for (std::size_t entry = 0; entry < entries; ++entry) {
        cluster_.entry_process(entry).terminate();
    }
    for (std::size_t entry = 0; entry < entries; ++entry) {
        stopped_cleanly_ =
            cluster_.entry_process(entry).wait(stop_timeout) == 0 && stopped_cleanly_;
    }
}

load::load_settings demo_run::request_load() const {
    load::load_settings settings;
    settings.ports = caller_ports();
    settings.prefix = "demo";
    settings.duration = load_time;
    settings.requests.rate = 300;
    settings.requests.threads = 24;
    return settings;
}

load::load_settings demo_run::task_load() const {
    constexpr std::chrono::seconds follow{20};
    load::load_settings settings;
    settings.ports = caller_ports();
    settings.prefix = "demo";
    settings.duration = load_time;
    settings.tasks.rate = 10;
    settings.tasks.work_ms = 1500;
    settings.tasks.cpu_millicores = 4000;
    settings.tasks.follow = follow;
    return settings;
}

std::vector<unsigned short> demo_run::caller_ports() const {
    std::vector<unsigned short> ports;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        ports.push_back(cluster_.callers_port(entry));
    }
    return ports;
}

std::size_t demo_run::starts_while_out(const std::vector<harness::vm_event>& events) const {
    std::vector<harness::vm_event> before_request;
    for (const harness::vm_event& event : events) {
        if (event.at < in_requested_at_) {
            before_request.push_back(event);
        }
    }
    return harness::starts_after(before_request, out_domain, out_accepted_at_ + plan_bound).size();
}

std::vector<demo_result> demo_run::evaluate(const load::load_report& requests,
                                            const load::load_report& tasks) const {
    const std::vector<harness::vm_event> events = cluster_.events();
    std::uint64_t started_twice = 0;
    for (const auto& [key, starts] : harness::starts_by_key(events)) {
        started_twice += starts > 1 ? 1 : 0;
    }
    const std::map<std::string, std::uint64_t> states = tasks.states();
    const std::uint64_t accepted = tasks.count(load::call_result::answered);
    const auto succeeded = states.find("succeeded");
    const std::uint64_t completed = succeeded == states.end() ? 0 : succeeded->second;
    const std::uint64_t requests_sent = total_of(requests);
    return {
        informative("lookups sent", std::to_string(requests_sent)),
        at_least("lookups answered", requests.count(load::call_result::answered),
                 requests_sent * 99 / 100),
        informative("lookups told not run",
                    std::to_string(requests.count(load::call_result::not_run))),
        informative("lookups unknown", std::to_string(requests.count(load::call_result::unknown))),
        at_most("lookups with a wrong answer", requests.count(load::call_result::wrong), 0),
        informative("lookup p50", milliseconds_text(requests.percentile_us(0.5))),
        informative("lookup p99", milliseconds_text(requests.percentile_us(0.99))),
        informative("reconciliations sent", std::to_string(total_of(tasks))),
        informative("reconciliations accepted", std::to_string(accepted)),
        informative("reconciliations told not run",
                    std::to_string(tasks.count(load::call_result::not_run))),
        at_most("accepted reconciliations not completed (lost)", accepted - completed, 0),
        at_most("reconciliations started twice", started_twice, 0),
        at_most("runs in two places at once", harness::simultaneous_runs(events).size(), 0),
        at_most("starts in the domain 4 s after it was out", starts_while_out(events), 0),
        at_most("capacity violations", harness::capacity_violations(events).size(), 0),
        at_most("requests above an upstream's limits",
                harness::count_of(events, harness::vm_event_kind::overload), 0),
        informative("evictions",
                    std::to_string(harness::ends_by_key(events, "checkpointed").size())),
        at_least("sheet accepted", sheet_accepted_ ? 1 : 0, 1),
        at_least("entries stopped in order", stopped_cleanly_ ? 1 : 0, 1),
    };
}

} // namespace egretstile::demo
