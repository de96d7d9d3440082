#include "cluster_settings.hpp"

#include <fstream>
#include <sstream>

namespace egretstile::harness {

namespace {

constexpr std::size_t vms_in_rack = 3;

} // namespace

std::vector<vm_options> spread_vms(std::size_t count,
                                   const std::vector<failure_domain_name>& domains) {
    std::vector<vm_options> vms;
    for (std::size_t i = 0; i < count; ++i) {
        vm_options vm;
        vm.name = "vm-" + std::to_string(i);
        vm.domain = domains.at(i % domains.size());
        // All VMs of a rack are in one failure domain.
        vm.rack = "rack-" + vm.domain + "-" + std::to_string(i / domains.size() / vms_in_rack);
        vms.push_back(vm);
    }
    return vms;
}

std::vector<entry_options> spread_entries(std::size_t count,
                                          const std::vector<failure_domain_name>& domains) {
    std::vector<entry_options> entries;
    for (std::size_t i = 0; i < count; ++i) {
        entries.push_back({"entry-" + std::to_string(i), domains.at(i % domains.size())});
    }
    return entries;
}

std::string endpoint_text(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

toml::table entry_table(const entry_options& entry, const entry_ports& ports,
                        const daemon_files& files) {
    return toml::table{{"deployment_key_file", files.deployment_key},
                       {"operator_token_file", files.operator_token},
                       {"ports_file", files.ports},
                       {"name", entry.name},
                       {"failure_domain", entry.domain},
                       {"callers", endpoint_text(ports.callers)},
                       {"operators", endpoint_text(ports.operators)},
                       {"peers", endpoint_text(ports.peers)},
                       {"advertised", endpoint_text(ports.advertised)},
                       {"key_value", endpoint_text(ports.key_value)}};
}

toml::table agent_table(const vm_options& vm, std::uint16_t announce_port,
                        std::uint16_t worker_port, const std::vector<std::uint16_t>& entry_ports,
                        const daemon_files& files) {
    toml::array entries;
    for (const std::uint16_t port : entry_ports) {
        entries.push_back(endpoint_text(port));
    }
    return toml::table{{"deployment_key_file", files.deployment_key},
                       {"ports_file", files.ports},
                       {"vm", vm.name},
                       {"failure_domain", vm.domain},
                       {"announce", endpoint_text(announce_port)},
                       {"worker", endpoint_text(worker_port)},
                       {"entries", entries}};
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream output;
    output.exceptions(std::ios::badbit | std::ios::failbit);
    output.open(path);
    output << text;
}

void write_table(const std::string& path, const toml::table& table) {
    std::ostringstream text;
    text << table << '\n';
    write_file(path, text.str());
}

} // namespace egretstile::harness
