#include "cluster.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fstream>
#include <stdexcept>
#include <utility>

namespace egretstile::harness {

namespace {

constexpr const char* operator_token = "operator-token-of-tests";
constexpr const char* deployment_key = "deployment-key-of-tests-0123456789abcdef";
/// Target of a link until its program has started; nothing listens on this port.
constexpr std::uint16_t closed_port = 1;

bool post(std::uint16_t port, const std::string& target) {
    http_request request;
    request.method = "POST";
    request.target = target;
    const std::optional<http_reply> reply = http_call(port, request);
    return reply && reply->status == 200;
}

void require(bool condition, const std::string& error_text) {
    if (!condition) {
        throw std::runtime_error(error_text);
    }
}

} // namespace

cluster::cluster(cluster_options options)
    : options_(std::move(options))
    , entries_(options_.entries.size())
    , vms_(options_.vms.size()) {
    write_file(scratch_.file("deployment.key"), deployment_key);
    write_file(scratch_.file("operator.token"), operator_token);
    if (options_.proxied) {
        start_proxy();
    }
    start_key_value(0);
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        start_vm(i);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        start_entry(i);
    }
    for (std::size_t i = 0; options_.agents && i < vms_.size(); ++i) {
        start_agent(i);
    }
}

daemon_files cluster::files_of(const std::string& name) const {
    return {scratch_.file("deployment.key"), scratch_.file("operator.token"),
            scratch_.file(name + ".ports")};
}

std::string cluster::log_file(std::size_t vm) const {
    return scratch_.file(options_.vms.at(vm).name + ".events");
}

void cluster::start_proxy() {
    const std::string ports = scratch_.file("proxy.ports");
    proxy_ =
        std::make_unique<launched_program>(launch_options{program_path("egretstile-standin-proxy"),
                                                          {"--ports-file", ports},
                                                          ports,
                                                          scratch_.file("proxy.output")});
}

std::uint16_t cluster::link(const std::string& name, std::uint16_t target) const {
    if (!proxy_) {
        return target;
    }
    http_request request;
    request.method = "POST";
    request.target = "/admin/links?name=" + name + "&port=" + std::to_string(target);
    const std::optional<http_reply> reply = http_call(proxy_->port("admin"), request);
    require(reply && reply->status == 200, "proxy did not add link " + name);
    Poco::JSON::Parser parser;
    return parser.parse(reply->body)
        .extract<Poco::JSON::Object::Ptr>()
        ->getValue<std::uint16_t>("port");
}

void cluster::start_key_value(std::uint16_t port) {
    const std::string ports = scratch_.file("kv.ports");
    std::vector<std::string> arguments{"--ports-file", ports, "--port", std::to_string(port)};
    arguments.insert(arguments.end(), options_.key_value_arguments.begin(),
                     options_.key_value_arguments.end());
    key_value_ = std::make_unique<launched_program>(launch_options{
        program_path("egretstile-standin-kv"), arguments, ports, scratch_.file("kv.output")});
}

void cluster::start_vm(std::size_t index) {
    const vm_options& vm = options_.vms.at(index);
    vm_node& node = vms_.at(index);
    const std::string ports = scratch_.file(vm.name + ".vm-ports");
    std::vector<std::string> arguments{"--ports-file",
                                       ports,
                                       "--log",
                                       log_file(index),
                                       "--vm",
                                       vm.name,
                                       "--domain",
                                       vm.domain,
                                       "--rack",
                                       vm.rack,
                                       "--cpu-millicores",
                                       std::to_string(vm.capacity.cpu_millicores),
                                       "--memory-mb",
                                       std::to_string(vm.capacity.memory_mb),
                                       "--accelerators",
                                       std::to_string(vm.capacity.accelerators),
                                       "--worker-port",
                                       std::to_string(node.worker_port),
                                       "--upstream-port",
                                       std::to_string(node.upstream_port),
                                       "--seed",
                                       std::to_string(index + 1)};
    arguments.insert(arguments.end(), vm.arguments.begin(), vm.arguments.end());
    node.program = std::make_unique<launched_program>(
        launch_options{program_path("egretstile-standin-vm"), arguments, ports,
                       scratch_.file(vm.name + ".vm-output")});
    node.worker_port = node.program->port("worker");
    node.upstream_port = node.program->port("upstream");
    if (node.linked_worker_port == 0) {
        node.linked_worker_port = link("worker-" + vm.name, node.worker_port);
    }
    send_agent_port(index);
}

void cluster::send_agent_port(std::size_t index) const {
    const vm_node& node = vms_.at(index);
    if (node.announce_port != 0) {
        const std::string port = std::to_string(node.announce_port);
        require(vm_admin(index, "agent?port=" + port),
                "VM stand-in did not accept the port of its agent");
    }
}

void cluster::start_entry(std::size_t index) {
    const entry_options& entry = options_.entries.at(index);
    entry_node& node = entries_.at(index);
    const bool first = node.ports.key_value == 0;
    if (first) {
        node.ports.key_value = link("kv-" + entry.name, key_value_port());
        node.ports.advertised = proxy_ ? link("peers-" + entry.name, closed_port) : 0;
    }
    const daemon_files files = files_of(entry.name);
    toml::table table = entry_table(entry, node.ports, files);
    if (options_.adjust_entry) {
        options_.adjust_entry(table);
    }
    const std::string settings = scratch_.file(entry.name + ".toml");
    write_table(settings, table);
    node.program =
        std::make_unique<launched_program>(launch_options{program_path("egretstiled"),
                                                          {"entry", "--settings", settings},
                                                          files.ports,
                                                          scratch_.file(entry.name + ".output")});
    node.ports.callers = node.program->port("callers");
    node.ports.operators = node.program->port("operators");
    node.ports.peers = node.program->port("peers");
    if (first && proxy_) {
        const std::string target =
            "/admin/links/peers-" + entry.name + "/target?port=" + std::to_string(node.ports.peers);
        require(post(proxy_->port("admin"), target), "proxy did not accept the target of a link");
    }
}

std::vector<std::uint16_t> cluster::seed_ports(std::size_t vm) {
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const entry_ports& entry = entries_[i].ports;
        const std::uint16_t port = proxy_ ? entry.advertised : entry.peers;
        const std::string name =
            "agent-" + options_.vms.at(vm).name + "-" + options_.entries.at(i).name;
        ports.push_back(options_.agent_links ? link(name, port) : port);
    }
    return ports;
}

void cluster::start_agent(std::size_t index) {
    const vm_options& vm = options_.vms.at(index);
    vm_node& node = vms_.at(index);
    const daemon_files files = files_of(vm.name);
    const std::string settings = scratch_.file(vm.name + ".toml");
    if (node.announce_port == 0) {
        toml::table table = agent_table(vm, 0, node.linked_worker_port, seed_ports(index), files);
        if (options_.adjust_agent) {
            options_.adjust_agent(table);
        }
        write_table(settings, table);
    }
    node.agent =
        std::make_unique<launched_program>(launch_options{program_path("egretstiled"),
                                                          {"agent", "--settings", settings},
                                                          files.ports,
                                                          scratch_.file(vm.name + ".output")});
    node.announce_port = node.agent->port("announce");
    send_agent_port(index);
}

std::uint16_t cluster::callers_port(std::size_t entry) const {
    return entries_.at(entry).ports.callers;
}

std::uint16_t cluster::operators_port(std::size_t entry) const {
    return entries_.at(entry).ports.operators;
}

std::uint16_t cluster::peers_port(std::size_t entry) const {
    return entries_.at(entry).ports.peers;
}

std::uint16_t cluster::worker_port(std::size_t vm) const {
    return vms_.at(vm).worker_port;
}

std::uint16_t cluster::upstream_port(std::size_t vm) const {
    return vms_.at(vm).upstream_port;
}

std::uint16_t cluster::linked_worker_port(std::size_t vm) const {
    return vms_.at(vm).linked_worker_port;
}

void cluster::restart_key_value() {
    const std::uint16_t port = key_value_port();
    key_value_.reset();
    start_key_value(port);
}

void cluster::restart_entry(std::size_t entry) {
    entries_.at(entry).program.reset();
    start_entry(entry);
}

void cluster::restart_agent(std::size_t vm) {
    vms_.at(vm).agent.reset();
    start_agent(vm);
}

void cluster::restart_vm(std::size_t vm) {
    kill_vm(vm);
    start_vm(vm);
}

void cluster::kill_vm(std::size_t vm) {
    vm_node& node = vms_.at(vm);
    if (!node.program || !node.program->child().running()) {
        return;
    }
    node.program->child().kill();
    Poco::JSON::Object event;
    event.set("event", "killed");
    event.set("at_ns", boot_now().time_since_epoch().count());
    event.set("vm", options_.vms.at(vm).name);
    event.set("domain", options_.vms.at(vm).domain);
    std::ofstream output(log_file(vm), std::ios::app);
    event.stringify(output);
    output << '\n';
}

bool cluster::set_link_rule(const std::string& link, const std::string& query) const {
    return post(proxy_->port("admin"), "/admin/links/" + link + "/rule?" + query);
}

bool cluster::reset_link(const std::string& link) const {
    return post(proxy_->port("admin"), "/admin/links/" + link + "/reset");
}

bool cluster::set_key_value_fault(const std::string& query) const {
    return post(key_value_port(), "/admin/fault?" + query);
}

bool cluster::vm_admin(std::size_t vm, const std::string& call) const {
    return post(worker_port(vm), "/admin/" + call);
}

std::optional<http_reply> cluster::operator_call(std::size_t entry, http_request request) const {
    request.headers["Authorization"] = std::string("Bearer ") + operator_token;
    return http_call(operators_port(entry), request);
}

std::vector<vm_event> cluster::events() const {
    std::vector<std::string> files;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        files.push_back(log_file(i));
    }
    return read_events(files);
}

} // namespace egretstile::harness
