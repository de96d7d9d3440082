#pragma once

#include "cluster_settings.hpp"
#include "http_call.hpp"
#include "launched_program.hpp"
#include "scratch_directory.hpp"
#include "vm_event.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::harness {

/// A deployment of real processes on the loopback interface: key-value stand-in, VM stand-ins,
/// entries and one agent for each VM. A restarted program keeps its ports, except for an agent,
/// whose new port is sent to the VM stand-in. Not thread-safe; construct it in the test's main
/// thread (see `process`).
///
/// With `cluster_options::proxied` these links go through the proxy: `kv-ENTRY` (entry to the
/// key-value service), `peers-ENTRY` (agents and other entries to the entry) and `worker-VM` (agent
/// to worker); with `agent_links` also `agent-VM-ENTRY` (one agent's seed address of one entry).
class cluster {
public:
    /// Starts everything and waits until each program is ready. Throws std::exception.
    explicit cluster(cluster_options options);

    std::uint16_t key_value_port() const { return key_value_->port("kv"); }

    std::uint16_t callers_port(std::size_t entry) const;
    std::uint16_t operators_port(std::size_t entry) const;
    /// Port on which the entry itself listens to agents and other entries, not the proxy's.
    std::uint16_t peers_port(std::size_t entry) const;
    /// Worker port of the VM stand-in, which also serves its admin calls.
    std::uint16_t worker_port(std::size_t vm) const;
    std::uint16_t upstream_port(std::size_t vm) const;
    /// Port at which the agent reaches the worker: the proxy's when proxied.
    std::uint16_t linked_worker_port(std::size_t vm) const;

    process& key_value_process() { return key_value_->child(); }

    process& entry_process(std::size_t entry) { return entries_.at(entry).program->child(); }

    process& agent_process(std::size_t vm) { return vms_.at(vm).agent->child(); }

    process& vm_process(std::size_t vm) { return vms_.at(vm).program->child(); }

    /// These kill the process if it is running and start it again.
    void restart_key_value();
    void restart_entry(std::size_t entry);
    void restart_agent(std::size_t vm);
    void restart_vm(std::size_t vm);

    /// Kills the VM stand-in and appends a `killed` event to its log. The agent keeps running.
    void kill_vm(std::size_t vm);

    /// Admin calls; each returns whether the stand-in accepted it. Example of a `query`:
    /// "mode=cut&direction=to_target".
    bool set_link_rule(const std::string& link, const std::string& query) const;
    bool reset_link(const std::string& link) const;
    bool set_key_value_fault(const std::string& query) const;
    bool vm_admin(std::size_t vm, const std::string& call) const;

    /// Calls the entry's operators' port with the operators' token. `std::nullopt`: no complete
    /// answer.
    std::optional<http_reply> operator_call(std::size_t entry, http_request request) const;

    /// Events of all VMs so far, in chronological order.
    std::vector<vm_event> events() const;

    const scratch_directory& scratch() const { return scratch_; }

private:
    struct entry_node {
        entry_ports ports;
        std::unique_ptr<launched_program> program;
    };

    struct vm_node {
        std::uint16_t worker_port{0};
        std::uint16_t upstream_port{0};
        std::uint16_t announce_port{0};
        /// Port at which the agent reaches the worker.
        std::uint16_t linked_worker_port{0};
        std::unique_ptr<launched_program> program;
        std::unique_ptr<launched_program> agent;
    };

    void start_proxy();
    void start_key_value(std::uint16_t port);
    void start_vm(std::size_t index);
    void start_entry(std::size_t index);
    void start_agent(std::size_t index);
    void send_agent_port(std::size_t index) const;
    /// Adds a link to `target` at the proxy and returns its port. Returns `target` without a proxy.
    std::uint16_t link(const std::string& name, std::uint16_t target) const;
    std::vector<std::uint16_t> seed_ports(std::size_t vm);
    std::string log_file(std::size_t vm) const;
    daemon_files files_of(const std::string& name) const;

    cluster_options options_;
    scratch_directory scratch_;
    std::unique_ptr<launched_program> proxy_;
    std::unique_ptr<launched_program> key_value_;
    std::vector<entry_node> entries_;
    std::vector<vm_node> vms_;
};

} // namespace egretstile::harness
