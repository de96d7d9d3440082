// A small deployment: the project's own entries and agents as processes, on stand-ins for the
// platform.
#pragma once

#include "platform.hh"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace review {

inline void sleep_ms(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

inline bool wait_until(const std::function<bool()>& holds, std::int64_t time_ms) {
    const steady::time_point until = steady::now() + std::chrono::milliseconds(time_ms);
    while (!holds()) {
        if (steady::now() >= until) {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

struct deployment_options {
    std::size_t entries{3};
    std::size_t vms{6};
    std::size_t zones{3};
    int entry_memory_mb{260};
    int agent_memory_mb{128};
    std::int64_t hold_max_ms{10000};
    std::int64_t stop_ms{150};
    std::function<std::int64_t(const std::string& task)> work_ms;
    std::function<std::int64_t(const std::string& task, std::int64_t attempt)> start_delay_ms;
    std::function<std::int64_t(const std::string& task)> latency_ms;
    std::int64_t used_cpu{0};
    bool log_heartbeats{false};
    bool log_runs{true};
};

/// Host and prefix of the only queue.
constexpr const char* queue_host = "jobs.example";
constexpr const char* queue_prefix = "/reminders/";
constexpr const char* service_name = "reminder";

class deployment {
public:
    deployment(deployment_options options, event_record& events, const std::string& folder)
        : options_(std::move(options))
        , events_(events)
        , runs_(events, options_.log_runs)
        , folder_(folder) {
        choose_addresses();
        store_ = std::make_unique<metadata_store>(host_, store_port_, events_);
        store_->put("op/config", config(1));
        for (std::size_t vm = 0; vm < options_.vms; ++vm) {
            runner_options shape;
            shape.id = "i-" + std::to_string(1000 + vm);
            shape.service = service_name;
            shape.zone = zone(vm);
            shape.rack = "r1-" + std::to_string(vm / 3);
            shape.host = host_;
            shape.port = port_of_vm(vm, 2);
            shape.agent_port = port_of_vm(vm, 1);
            shape.hold_max_ms = options_.hold_max_ms;
            shape.stop_ms = options_.stop_ms;
            shape.work_ms = options_.work_ms;
            shape.start_delay_ms = options_.start_delay_ms;
            shape.latency_ms = options_.latency_ms;
            shape.used_cpu = options_.used_cpu;
            shape.log_heartbeats = options_.log_heartbeats;
            runners_.push_back(std::make_unique<runner>(std::move(shape), events_, runs_));
        }
        processes_.resize(options_.entries + options_.vms, -1);
        for (std::size_t number = 0; number < processes_.size(); ++number) {
            start_process(number);
        }
    }

    ~deployment() {
        for (std::size_t number = 0; number < processes_.size(); ++number) {
            kill_process(number);
        }
    }

    deployment(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment& operator=(deployment&&) = delete;

    const std::string& host() const { return host_; }

    metadata_store& store() { return *store_; }

    runner& runner_of(std::size_t vm) { return *runners_.at(vm); }

    std::size_t vms() const { return options_.vms; }

    std::size_t entries() const { return options_.entries; }

    run_list& runs() { return runs_; }

    int agent_port(std::size_t vm) const { return port_of_vm(vm, 1); }

    /// Process numbers: the entries come first, then the agents.
    std::size_t entry_number(std::size_t entry) const { return entry; }

    std::size_t agent_number(std::size_t vm) const { return options_.entries + vm; }

    std::size_t processes() const { return processes_.size(); }

    pid_t process_id(std::size_t number) const { return processes_.at(number); }

    std::string name_of(std::size_t number) const {
        return number < options_.entries ? "entry-" + std::to_string(number)
                                         : "vm-" + std::to_string(number - options_.entries);
    }

    void start_process(std::size_t number) {
        const bool is_entry = number < options_.entries;
        const std::string name = name_of(number);
        const std::string file = folder_ + "/" + name + ".toml";
        std::ofstream(file) << (is_entry ? entry_settings(number)
                                         : agent_settings(number - options_.entries));
        const std::string log = folder_ + "/" + name + ".log";
        const std::string role = is_entry ? "job-entry" : "job-agent";
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/bin/egretstiled", "target/bin/egretstiled", role.c_str(), "--settings",
                    file.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        processes_.at(number) = child;
    }

    void kill_process(std::size_t number) {
        if (processes_.at(number) > 0) {
            ::kill(processes_.at(number), SIGKILL);
            ::waitpid(processes_.at(number), nullptr, 0);
            processes_.at(number) = -1;
        }
    }

    /// Whether the process has ended by itself; collects it then.
    bool has_ended(std::size_t number) {
        int status = 0;
        if (processes_.at(number) > 0 &&
            ::waitpid(processes_.at(number), &status, WNOHANG) == processes_.at(number)) {
            last_end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                            : "exit code " + std::to_string(WEXITSTATUS(status));
            processes_.at(number) = -1;
            return true;
        }
        return false;
    }

    /// How the process ended that was found last.
    const std::string& last_end() const { return last_end_; }

    /// A request whose head announces `length` bytes; the first line of the answer, empty without
    /// one.
    std::string send_head_and_body(std::size_t entry, const std::string& id, std::size_t length,
                                   const std::string& body) const {
        const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(host_, port_of_entry(entry, 1));
        std::string head;
        if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
            0) {
            const std::string text =
                "POST " + std::string(queue_prefix) + id + " HTTP/1.1\r\nHost: " + queue_host +
                "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
            std::string buffer;
            std::string answer;
            if (::send(connection, text.data(), text.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(text.size())) {
                read_message(connection, buffer, head, answer, 2000);
            }
        }
        ::close(connection);
        return head.substr(0, head.find("\r\n"));
    }

    /// Resident memory of the process in megabytes.
    double memory_mb(std::size_t number) const {
        std::ifstream file("/proc/" + std::to_string(processes_.at(number)) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.compare(0, 6, "VmRSS:") == 0) {
                return std::stod(line.substr(6)) / 1024.0;
            }
        }
        return 0;
    }

    std::optional<response> post(std::size_t entry, const std::string& id,
                                 const std::string& body) {
        return ask(entry, "POST", id, body);
    }

    std::optional<response> cancel(std::size_t entry, const std::string& id) {
        return ask(entry, "DELETE", id, "");
    }

    /// The state that the entry shows; empty without an answer of status 200.
    std::string state(std::size_t entry, const std::string& id, bool record = false) {
        const std::optional<response> answer =
            call(host_, port_of_entry(entry, 1), "GET", queue_prefix + id, queue_host, "");
        rapidjson::Document body;
        if (answer && answer->status == 200) {
            body.Parse(answer->body.c_str());
        }
        if (record) {
            events_.write("GET " + id + " at " + name_of(entry) + " -> " +
                          (answer ? std::to_string(answer->status) + " " + answer->body
                                  : std::string("no answer")));
        }
        return answer && answer->status == 200 ? text_of(body, "state") : "";
    }

    /// Submits the job until an entry has accepted it, as requesters do; false when none does.
    bool hand_in(const std::string& id, const std::string& body, std::int64_t time_ms = 20000) {
        std::size_t entry = 0;
        return wait_until(
            [&] {
                const std::optional<response> answer = post(entry++ % options_.entries, id, body);
                return answer && answer->status == 200;
            },
            time_ms);
    }

    bool wait_completed(const std::string& id, std::int64_t time_ms) {
        std::size_t entry = 0;
        return wait_until([&] { return state(entry++ % options_.entries, id) == "completed"; },
                          time_ms);
    }

    /// Waits until all agents take part and a job has been completed.
    bool wait_ready() {
        return wait_until([this] { return store_->count("egretstile/vm/") == options_.vms; },
                          20000) &&
               hand_in(
                   "00000000000000aa",
                   R"({"spec":"warm","steps":[{"count":6,"cpu":100,"mem_mb":64,"estimate_ms":100}]})") &&
               wait_completed("00000000000000aa", 20000);
    }

    std::string zone(std::size_t number) const {
        return "zone-" + std::to_string(number % options_.zones);
    }

    /// Log of the process as written so far.
    std::string log_of(std::size_t number) const {
        std::ifstream file(folder_ + "/" + name_of(number) + ".log");
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::optional<response> ask(std::size_t entry, const std::string& method, const std::string& id,
                                const std::string& body) {
        std::optional<response> answer =
            call(host_, port_of_entry(entry, 1), method, queue_prefix + id, queue_host, body);
        events_.write(method + " " + id + " at " + name_of(entry) + " " + body.substr(0, 200) +
                      " -> " +
                      (answer ? std::to_string(answer->status) : std::string("no answer")));
        return answer;
    }

    int port_of_entry(std::size_t entry, int offset) const {
        return first_port_ + static_cast<int>(entry) * 10 + offset;
    }

    int port_of_vm(std::size_t vm, int offset) const {
        return first_port_ + static_cast<int>(options_.entries + vm) * 10 + offset;
    }

    static bool is_free(const std::string& host, int port) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = address_of(host, port);
        const bool bound =
            ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        return bound;
    }

    /// Takes a loopback address and a range of ports of which all are free.
    void choose_addresses() {
        const auto id = static_cast<std::uint32_t>(::getpid());
        host_ = "127." + std::to_string((id >> 14U & 0x3fU) + 64) + "." +
                std::to_string(id >> 7U & 0x7fU) + "." + std::to_string((id & 0x7fU) + 1);
        const int needed = static_cast<int>(options_.entries + options_.vms) * 10 + 10;
        for (int first = 11000; first + needed < 30000; first += needed) {
            bool free = true;
            for (int port = first; free && port < first + needed; ++port) {
                free = is_free(host_, port);
            }
            if (free) {
                first_port_ = first;
                store_port_ = first + needed - 1;
                return;
            }
        }
        throw std::runtime_error("no free ports");
    }

    std::string common_settings(const std::string& name, std::size_t number, int port,
                                int memory_mb) const {
        return "vm = \"" + name + "\"\nfailure_domain = \"" + zone(number) + "\"\nhost = \"" +
               host_ + "\"\nfirst_port = " + std::to_string(port) +
               "\nmetrics_port = " + std::to_string(port + 5) + "\nstore = \"" + host_ + ":" +
               std::to_string(store_port_) + "\"\nmemory_mb = " + std::to_string(memory_mb) + "\n";
    }

    std::string at(int port) const { return "\"" + host_ + ":" + std::to_string(port) + "\"\n"; }

    std::string entry_settings(std::size_t entry) const {
        return common_settings("entry-" + std::to_string(entry), entry, port_of_entry(entry, 0),
                               options_.entry_memory_mb) +
               "callers = " + at(port_of_entry(entry, 1)) +
               "readiness = " + at(port_of_entry(entry, 2)) +
               "max_fds = 4100\nprocessor_share = 0.25\nconfig_age_limit_ms = 2000\n"
               "closure_age_limit_ms = 5000\nremote_factor = 1.5\nrestore_ms = 250\n"
               "contract_parts = \"base,drain,config,cost,recover,sched,places,platform,advice,"
               "upkeep,sharing\"\n";
    }

    std::string agent_settings(std::size_t vm) const {
        return common_settings("vm-" + std::to_string(vm), vm, port_of_vm(vm, 0),
                               options_.agent_memory_mb) +
               "registration = " + at(port_of_vm(vm, 1)) + "runner = " + at(port_of_vm(vm, 2)) +
               "max_fds = 4096\n";
    }

    static std::string config(int version) {
        return "{\"version\":" + std::to_string(version) +
               R"(,"routes":[{"name":"reminders","host":")" + queue_host + R"(","prefix":")" +
               queue_prefix + R"(","service":")" + service_name +
               R"(","priority":0,"max_attempts":4,"slack_factor":2.0,"target_completion_ms":1000}],)" +
               R"("services":[{"name":")" + service_name +
               R"(","enforce_capacity":false}],"limits":{"max_header_bytes":16384,)" +
               R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }

    deployment_options options_;
    event_record& events_;
    run_list runs_;
    std::string folder_;
    std::string host_;
    int first_port_{0};
    int store_port_{0};
    std::unique_ptr<metadata_store> store_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::vector<pid_t> processes_;
    std::string last_end_;
};

} // namespace review
