#include "flooded_deployment.hpp"

#include "process_figures.hpp"
#include "wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace egretstile::platform::standins {

namespace {

constexpr std::uint32_t memory_mb = 48;
constexpr std::size_t kb_per_mb = 1024;
constexpr std::chrono::seconds answer_timeout{60};
constexpr const char* ordinary_job = "00000000000000bb";
constexpr const char* crowd_job = "00000000000000cc";
constexpr const char* small_step = R"({"count":1,"cpu":100,"mem_mb":64,"estimate_ms":100})";

registry_options lowered_limits(std::uint32_t max_fds) {
    registry_options options;
    options.vms = 1;
    options.duration = [](const std::string& /*task*/) { return milliseconds(100); };
    options.memory_mb = memory_mb;
    options.max_fds = max_fds;
    return options;
}

} // namespace

flooded_deployment::flooded_deployment(std::uint32_t max_fds)
    : max_fds_(max_fds)
    , registry_(lowered_limits(max_fds)) {
    REQUIRE(registry_.wait_ready());
}

endpoint flooded_deployment::address(open_path path) const {
    return path == open_path::readiness ? registry_.readiness_address(0)
                                        : registry_.callers_address(0);
}

request_target flooded_deployment::target(open_path path, const std::string& method) {
    if (path == open_path::readiness) {
        return {method, "/v1/readyz", "localhost"};
    }
    const bool routed = path == open_path::routed;
    return {method, routed ? std::string(queue_prefix) + crowd_job : "/nowhere", queue_host};
}

void flooded_deployment::set_store_available(bool available) {
    registry_.on_standins([&] { registry_.store().set_available(available); });
}

void flooded_deployment::run_crowd() {
    crowd_->run([this] { return observe(); });
}

void flooded_deployment::check_accepted(const std::string& id) {
    check_in_the_end([&] { return registry_.submit(0, id, small_step).status == 200; });
}

void flooded_deployment::check_completed(const std::string& id) {
    check_in_the_end([&] { return registry_.state(0, id) == "completed"; });
}

void flooded_deployment::check_in_the_end(const std::function<bool()>& condition) {
    bool held = false;
    harness::wait_until(
        [&] {
            held = condition();
            return held || !registry_.entry_process(0).running();
        },
        answer_timeout);
    CHECK(held);
}

void flooded_deployment::check_afterwards() {
    observe();
    crowd_ = std::make_unique<client_crowd>();
    check_accepted(ordinary_job);
    check_completed(ordinary_job);
    observe();
    check_limits("entry", registry_.entry_process(0), entry_peaks_);
    check_limits("agent", registry_.agent_process(0), agent_peaks_);
}

bool flooded_deployment::observe() {
    const auto raise = [](peaks& highest, pid_t process) {
        highest.descriptors = std::max(highest.descriptors, open_descriptors(process));
        const std::size_t memory_kb = peak_memory_kb(process);
        const bool raised = memory_kb > highest.memory_kb;
        highest.memory_kb = std::max(highest.memory_kb, memory_kb);
        return raised;
    };
    const bool entry_raised = raise(entry_peaks_, registry_.entry_process(0).id());
    const bool agent_raised = raise(agent_peaks_, registry_.agent_process(0).id());
    return entry_raised || agent_raised;
}

void flooded_deployment::check_limits(const std::string& name, harness::process& process,
                                      const peaks& highest) {
    INFO("process: " << name);
    // Negative: the number of the signal that ended the process.
    INFO("exit code: " << process.wait(std::chrono::milliseconds(0)).value_or(0));
    CHECK(process.running());
    CHECK(highest.memory_kb < memory_mb * kb_per_mb);
    CHECK(highest.descriptors <= max_fds_);
}

} // namespace egretstile::platform::standins
