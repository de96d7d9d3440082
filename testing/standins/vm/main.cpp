#include "common/http_service.hpp"
#include "common/service_process.hpp"
#include "vm/announcer.hpp"
#include "vm/upstream_service.hpp"
#include "vm/worker_service.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <boost/program_options.hpp>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace egretstile::standins;
using egretstile::boot_now;
namespace options = boost::program_options;

constexpr int worker_connections = 64;
// The HTTP server accepts more connections than the upstream allows, so that the upstream can
// refuse and log those above its limit.
constexpr int spare_connections = 64;
constexpr std::chrono::milliseconds advance_interval{5};

struct vm_settings {
    std::uint16_t worker_port{0};
    std::uint16_t upstream_port{0};
    std::string ports_file;
    std::string log_file;
    std::string vm{"vm"};
    std::string domain{"domain"};
    std::string service{"lookup"};
    std::string agent_host{"127.0.0.1"};
    std::uint16_t agent_port{0};
    std::int64_t usage_lag_ms{1000};
    std::int64_t service_time_us{2000};
    worker_settings worker;
    upstream_settings upstream;
};

options::options_description describe_options(vm_settings& settings) {
    options::options_description description("egretstile-standin-vm");
    auto add = description.add_options();
    add("worker-port", options::value(&settings.worker_port), "0: chosen by the kernel");
    add("upstream-port", options::value(&settings.upstream_port), "0: chosen by the kernel");
    add("ports-file", options::value(&settings.ports_file), "file for the ports, as JSON");
    add("log", options::value(&settings.log_file), "file for events, a JSON line each");
    add("vm", options::value(&settings.vm), "name of the VM");
    add("domain", options::value(&settings.domain), "failure domain");
    add("rack", options::value(&settings.worker.rack), "rack");
    add("cpu-millicores", options::value(&settings.worker.capacity.cpu_millicores), "capacity");
    add("memory-mb", options::value(&settings.worker.capacity.memory_mb), "capacity");
    add("accelerators", options::value(&settings.worker.capacity.accelerators), "capacity");
    add("usage-lag-ms", options::value(&settings.usage_lag_ms), "time constant of reported usage");
    add("service", options::value(&settings.service), "service that the upstream announces");
    add("agent-host", options::value(&settings.agent_host), "host of the agent to announce to");
    add("agent-port", options::value(&settings.agent_port), "port of the agent; 0: none");
    add("slots", options::value(&settings.upstream.slots), "maximum number of requests at a time");
    add("connections", options::value(&settings.upstream.connections),
        "maximum number of connections");
    add("service-us", options::value(&settings.service_time_us), "mean service time");
    add("jitter-percent", options::value(&settings.upstream.jitter_percent),
        "spread of the service time");
    add("seed", options::value(&settings.upstream.seed), "seed of the jitter");
    return description;
}

vm_settings parse(int argc, char** argv) {
    vm_settings settings;
    const options::options_description description = describe_options(settings);
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    settings.worker.usage_lag = std::chrono::milliseconds(settings.usage_lag_ms);
    settings.upstream.service_time = std::chrono::microseconds(settings.service_time_us);
    return settings;
}

/// Sets the fault of the worker or the upstream, or of both when the parameter `target` is absent.
service_answer set_fault(const service_call& call, fault_injector& worker,
                         fault_injector& upstream) {
    const std::string target = call.text("target", "both");
    service_answer answer;
    if (target != "upstream") {
        answer = worker.set(call);
    }
    if (target != "worker") {
        answer = upstream.set(call);
    }
    return answer;
}

service_answer set_agent(const service_call& call, announcer& upstream_announcer) {
    upstream_announcer.set_agent(call.text("host", "127.0.0.1"),
                                 static_cast<std::uint16_t>(std::stoul(call.query.at("port"))));
    return {};
}

void serve(const vm_settings& settings) {
    event_log log(settings.log_file, settings.vm, settings.domain);
    fault_injector worker_fault;
    fault_injector upstream_fault;
    run_table runs(settings.worker, log, worker_fault);
    worker_service worker(runs, worker_fault);
    upstream_service upstream(settings.upstream, runs, log, upstream_fault);
    std::atomic<const http_service*> upstream_server{nullptr};
    upstream.set_connection_counter([&upstream_server] {
        const http_service* const server = upstream_server.load();
        return server == nullptr ? 0 : server->connections();
    });
    const http_service upstream_http(settings.upstream_port, upstream.routes(),
                                     static_cast<int>(settings.upstream.connections) +
                                         spare_connections);
    upstream_server = &upstream_http;
    announcer upstream_announcer({settings.service, "127.0.0.1", upstream_http.port(),
                                  settings.upstream.slots, settings.upstream.connections});
    upstream_announcer.set_agent(settings.agent_host, settings.agent_port);
    worker.routes().add("POST", "/admin/fault", [&](const service_call& call) {
        return set_fault(call, worker_fault, upstream_fault);
    });
    worker.routes().add("POST", "/admin/agent", [&](const service_call& call) {
        return set_agent(call, upstream_announcer);
    });
    worker.routes().add("POST", "/admin/leave", [&](const service_call& /*call*/) {
        upstream_announcer.leave();
        log.write("leave", boot_now(), Poco::JSON::Object());
        return service_answer{};
    });
    worker.routes().add("POST", "/admin/reboot", [&](const service_call& /*call*/) {
        runs.reboot(boot_now());
        return service_answer{};
    });
    const http_service worker_http(settings.worker_port, worker.routes(), worker_connections);
    std::thread([&runs] {
        for (;;) {
            std::this_thread::sleep_for(advance_interval);
            runs.advance(boot_now());
        }
    }).detach();
    write_ports_file(settings.ports_file,
                     {{"worker", worker_http.port()}, {"upstream", upstream_http.port()}});
    wait_for_termination_signal();
    // Ending abruptly is correct for a VM that disappears with its runs. The log is flushed by
    // line.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv) {
    block_termination_signals();
    try {
        serve(parse(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << "standin-vm: " << error.what() << '\n';
    }
    return EXIT_FAILURE;
}
