#pragma once

#include <egretstile/core/base/identifiers.hpp>
#include <egretstile/core/base/resources.hpp>

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace egretstile::harness {

struct vm_options {
    vm_name name;
    failure_domain_name domain;
    std::string rack{"rack-1"};
    resources capacity{32000, 125000, 0};
    /// Additional arguments of the VM stand-in, for example `--service-us`.
    std::vector<std::string> arguments;
};

struct entry_options {
    std::string name;
    failure_domain_name domain;
};

struct cluster_options {
    std::vector<entry_options> entries;
    std::vector<vm_options> vms;
    /// Whether each VM gets an agent.
    bool agents{true};
    /// Whether the links go through the proxy; see `cluster`.
    bool proxied{false};
    /// Whether, with `proxied`, each agent has its own links to its seed addresses.
    bool agent_links{false};
    std::vector<std::string> key_value_arguments;
    /// Functions that modify the settings of each entry or agent before they are written.
    std::function<void(toml::table&)> adjust_entry;
    std::function<void(toml::table&)> adjust_agent;
};

/// `count` VMs named vm-0, vm-1, ... spread over `domains` in turn, three to a rack.
std::vector<vm_options> spread_vms(std::size_t count,
                                   const std::vector<failure_domain_name>& domains);

/// `count` entries named entry-0, entry-1, ... spread over `domains` in turn.
std::vector<entry_options> spread_entries(std::size_t count,
                                          const std::vector<failure_domain_name>& domains);

/// Address on the loopback interface in the format of the settings files.
std::string endpoint_text(std::uint16_t port);

struct daemon_files {
    std::string deployment_key;
    std::string operator_token;
    std::string ports;
};

/// Ports of an entry. Zero: the kernel chooses the port.
struct entry_ports {
    std::uint16_t callers{0};
    std::uint16_t operators{0};
    std::uint16_t peers{0};
    std::uint16_t advertised{0};
    std::uint16_t key_value{0};
};

toml::table entry_table(const entry_options& entry, const entry_ports& ports,
                        const daemon_files& files);

toml::table agent_table(const vm_options& vm, std::uint16_t announce_port,
                        std::uint16_t worker_port, const std::vector<std::uint16_t>& entry_ports,
                        const daemon_files& files);

/// Throws std::exception when the file cannot be written.
void write_file(const std::string& path, const std::string& text);
void write_table(const std::string& path, const toml::table& table);

} // namespace egretstile::harness
