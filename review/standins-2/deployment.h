#pragma once

#include "proxy.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <egretstile/runtime/net/event_loop.hpp>

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace egretstile::review {

/// Status and body of an answer; status zero: there was none.
struct call_answer {
    int status{0};
    std::string body;
};

struct deployment_options {
    std::size_t entries{3};
    std::size_t agents{3};
    std::int64_t cpu_millicores{64000};
    std::uint32_t entry_memory_mb{260};
    std::function<milliseconds(const std::string& task)> duration;
};

/// A small deployment on the loopback interface: the project's entries and agents, each a process
/// started with the command of the deploy file, a store and a runner beside each agent. The
/// stand-ins run on a thread of their own. Use it on the thread that created it.
class deployment {
public:
    deployment(deployment_options options, record& log);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;
    ~deployment();

    /// Waits until a job of one task has been completed. False when that takes over 30 s.
    bool wait_ready();

    void start_entry(std::size_t entry);
    void start_agent(std::size_t agent);
    void kill_entry(std::size_t entry);
    void kill_agent(std::size_t agent);
    /// Memory of the entry's process in MB; zero when it does not run.
    std::size_t entry_memory(std::size_t entry) const;
    bool entry_runs(std::size_t entry) const;
    /// Number of the entry that leads by its page for operators; nothing when none says so.
    std::optional<std::size_t> leader() const;
    /// The same by the page of one entry.
    std::optional<std::size_t> leader_by(std::size_t entry) const;

    /// A call of a client to an entry, which waits up to 3 s for the answer.
    call_answer call(std::size_t entry, const std::string& method, const std::string& path,
                     const std::string& body) const;
    /// Submits the job until it is accepted or refused for good, at the entries in turn.
    call_answer submit(const std::string& id, const std::string& body);
    /// The state as the first entry that answers shows it; empty: none did.
    std::string state(const std::string& id) const;

    /// Runs `function` on the thread of the stand-ins and waits for it.
    void on_standins(const std::function<void()>& function) const;

    /// Precondition of use: only inside `on_standins`.
    runner& runner_of(std::size_t agent) { return *runners_.at(agent); }

    store& platform_store() { return *store_; }

    /// The links of a process to the store; only inside `on_standins`.
    proxy& entry_link(std::size_t entry) { return *entry_links_.at(entry); }

    proxy& agent_link(std::size_t agent) { return *agent_links_.at(agent); }

    const std::string& scratch() const { return scratch_; }

private:
    pid_t start(const std::string& role, const std::string& name, const std::string& settings);
    static void kill(pid_t& id);
    std::string common_settings(const std::string& name, std::size_t number,
                                std::size_t first_port) const;
    std::string address(std::size_t port) const;

    deployment_options options_;
    record& log_;
    std::string host_;
    std::string scratch_;
    mutable event_loop loop_;
    std::unique_ptr<store> store_;
    std::vector<std::unique_ptr<proxy>> entry_links_;
    std::vector<std::unique_ptr<proxy>> agent_links_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::thread standins_;
    std::vector<pid_t> entries_;
    std::vector<pid_t> agents_;
};

/// Job ids have 16 hexadecimal digits.
std::string job_id(std::size_t number);

} // namespace egretstile::review
