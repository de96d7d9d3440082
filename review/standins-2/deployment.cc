#include "deployment.h"

#include "json.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

namespace egretstile::review {

namespace {

constexpr std::size_t store_port = 8000;
constexpr std::size_t ports_of_process = 30;
constexpr std::size_t first_entry_port = 10000;
constexpr std::size_t first_agent_port = 12000;
/// Offsets from a process's first port; those before are for the project's own connections.
constexpr std::size_t metrics_offset = 20;
constexpr std::size_t callers_offset = 21;
constexpr std::size_t readiness_offset = 22;
constexpr std::size_t registration_offset = 23;
constexpr std::size_t runner_offset = 24;
/// Where the process reaches the store.
constexpr std::size_t link_offset = 25;
constexpr const char* service_name = "service";
constexpr const char* queue_host = "queue.example";

const std::string queue_prefix = "/queue/";

/// An address that follows from the id of this process, so that two scripts do not share ports.
std::string own_loopback_host() {
    const auto id = static_cast<std::uint32_t>(::getpid());
    return "127." + std::to_string((id >> 15U & 0x7fU) + 1) + "." +
           std::to_string(id >> 7U & 0xffU) + "." + std::to_string((id & 0x7fU) * 2 + 1);
}

std::size_t entry_port(std::size_t entry, std::size_t offset) {
    return first_entry_port + entry * ports_of_process + offset;
}

std::size_t agent_port(std::size_t agent, std::size_t offset) {
    return first_agent_port + agent * ports_of_process + offset;
}

std::string config_text() {
    return std::string(R"({"version":1,"routes":[{"name":"queue","host":")") + queue_host +
           R"(","prefix":")" + queue_prefix + R"(","service":")" + service_name +
           R"(","priority":1,"max_attempts":4,"slack_factor":2.0,"target_completion_ms":1000}],)" +
           R"("services":[{"name":")" + service_name +
           R"(","enforce_capacity":false}],"limits":{"max_header_bytes":16384,)" +
           R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

endpoint endpoint_of(const std::string& host, std::size_t port) {
    return {host, static_cast<std::uint16_t>(port)};
}

} // namespace

std::string job_id(std::size_t number) {
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

deployment::deployment(deployment_options options, record& log)
    : options_(std::move(options))
    , log_(log)
    , host_(own_loopback_host()) {
    std::string name = (std::filesystem::temp_directory_path() / "egretstile-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    scratch_ = name;
    store_ = std::make_unique<store>(loop_, endpoint_of(host_, store_port));
    store_->put("op/config", config_text());
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        entry_links_.push_back(std::make_unique<proxy>(
            loop_, host_, static_cast<std::uint16_t>(entry_port(entry, link_offset)), store_port));
    }
    for (std::size_t agent = 0; agent < options_.agents; ++agent) {
        agent_links_.push_back(std::make_unique<proxy>(
            loop_, host_, static_cast<std::uint16_t>(agent_port(agent, link_offset)), store_port));
    }
    for (std::size_t agent = 0; agent < options_.agents; ++agent) {
        runner_options shape;
        shape.id = "i-" + std::to_string(agent);
        shape.service = service_name;
        shape.zone = "zone-" + std::to_string(agent % 3);
        shape.rack = "r" + std::to_string(agent % 3 + 1);
        shape.cpu_millicores = options_.cpu_millicores;
        shape.address = endpoint_of(host_, agent_port(agent, runner_offset));
        shape.agent = endpoint_of(host_, agent_port(agent, registration_offset));
        shape.duration = options_.duration;
        runners_.push_back(std::make_unique<runner>(loop_, std::move(shape), log_));
    }
    standins_ = std::thread([this] { loop_.run(); });
    entries_.assign(options_.entries, -1);
    agents_.assign(options_.agents, -1);
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        start_entry(entry);
    }
    for (std::size_t agent = 0; agent < options_.agents; ++agent) {
        start_agent(agent);
    }
}

deployment::~deployment() {
    for (pid_t& id : agents_) {
        kill(id);
    }
    for (pid_t& id : entries_) {
        kill(id);
    }
    loop_.stop();
    standins_.join();
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(scratch_, ignored);
    }
}

std::string deployment::address(std::size_t port) const {
    return "\"" + host_ + ":" + std::to_string(port) + "\"\n";
}

std::string deployment::common_settings(const std::string& name, std::size_t number,
                                        std::size_t first_port) const {
    return "vm = \"" + name + "\"\nfailure_domain = \"zone-" + std::to_string(number % 3) +
           "\"\nhost = \"" + host_ + "\"\nfirst_port = " + std::to_string(first_port) +
           "\nmetrics_port = " + std::to_string(first_port + metrics_offset) +
           "\nstore = " + address(first_port + link_offset);
}

void deployment::start_entry(std::size_t entry) {
    const std::string name = "entry-" + std::to_string(entry);
    entries_.at(entry) =
        start("job-entry", name,
              common_settings(name, entry, entry_port(entry, 0)) +
                  "callers = " + address(entry_port(entry, callers_offset)) +
                  "readiness = " + address(entry_port(entry, readiness_offset)) +
                  "processor_share = 0.1\nconfig_age_limit_ms = 2000\n"
                  "closure_age_limit_ms = 5000\nmemory_mb = " +
                  std::to_string(options_.entry_memory_mb) +
                  "\nmax_fds = 4100\ncontract_parts = \"base,drain,config,cost,recover,sched,"
                  "places,platform,advice,upkeep,sharing\"\nremote_factor = 1.5\n"
                  "restore_ms = 600\n");
}

void deployment::start_agent(std::size_t agent) {
    const std::string name = "side-" + std::to_string(agent);
    agents_.at(agent) =
        start("job-agent", name,
              common_settings(name, agent, agent_port(agent, 0)) +
                  "registration = " + address(agent_port(agent, registration_offset)) +
                  "runner = " + address(agent_port(agent, runner_offset)) +
                  "memory_mb = 128\nmax_fds = 4096\n");
}

pid_t deployment::start(const std::string& role, const std::string& name,
                        const std::string& settings) {
    const std::string file = scratch_ + "/" + name + ".toml";
    std::ofstream(file) << settings;
    const std::string output = scratch_ + "/" + name + ".log";
    std::string program = "target/bin/egretstiled";
    std::string role_argument = role;
    std::string variable = "EGRETSTILE_SETTINGS=" + file;
    std::array<char*, 3> arguments{program.data(), role_argument.data(), nullptr};
    std::array<char*, 2> environment{variable.data(), nullptr};
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(127);
        }
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execve(program.c_str(), arguments.data(), environment.data());
        ::_exit(127);
    }
    if (child < 0) {
        throw std::runtime_error("cannot start a process");
    }
    log_.write(name + " started");
    return child;
}

void deployment::kill(pid_t& id) {
    if (id > 0) {
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }
    id = -1;
}

void deployment::kill_entry(std::size_t entry) {
    kill(entries_.at(entry));
    log_.write("entry-" + std::to_string(entry) + " killed");
}

void deployment::kill_agent(std::size_t agent) {
    kill(agents_.at(agent));
    log_.write("side-" + std::to_string(agent) + " killed");
}

bool deployment::entry_runs(std::size_t entry) const {
    return entries_.at(entry) > 0 && ::waitpid(entries_.at(entry), nullptr, WNOHANG) == 0;
}

std::size_t deployment::entry_memory(std::size_t entry) const {
    std::ifstream status("/proc/" + std::to_string(entries_.at(entry)) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.compare(0, 6, "VmRSS:") == 0) {
            return std::strtoul(line.substr(6).c_str(), nullptr, 10) / 1024;
        }
    }
    return 0;
}

namespace {

call_answer exchange(const std::string& host, std::size_t port, const std::string& method,
                     const std::string& path, const std::string& virtual_host,
                     const std::string& body) {
    try {
        Poco::Net::HTTPClientSession session(host, static_cast<std::uint16_t>(port));
        session.setTimeout(Poco::Timespan(3, 0));
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setHost(virtual_host);
        request.set("Egretstile-Deadline-Ms", "3000");
        request.setKeepAlive(false);
        if (!body.empty()) {
            request.setContentType("application/json");
            request.setContentLength(static_cast<std::streamsize>(body.size()));
        }
        std::ostream& output = session.sendRequest(request);
        output << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& input = session.receiveResponse(response);
        call_answer answer;
        answer.status = static_cast<int>(response.getStatus());
        Poco::StreamCopier::copyToString(input, answer.body);
        return answer;
    } catch (const Poco::Exception&) {
        return {};
    }
}

} // namespace

std::optional<std::size_t> deployment::leader_by(std::size_t entry) const {
    const call_answer answer =
        exchange(host_, entry_port(entry, metrics_offset), "GET", "/v1/state", host_, "");
    const std::optional<rapidjson::Document> body = platform::parse_object(answer.body);
    const std::string name = body ? platform::text_in(*body, "leader").value_or("") : "";
    if (name.compare(0, 6, "entry-") != 0) {
        return std::nullopt;
    }
    return std::strtoul(name.substr(6).c_str(), nullptr, 10);
}

std::optional<std::size_t> deployment::leader() const {
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        if (const std::optional<std::size_t> leader = leader_by(entry)) {
            return leader;
        }
    }
    return std::nullopt;
}

call_answer deployment::call(std::size_t entry, const std::string& method, const std::string& path,
                             const std::string& body) const {
    return exchange(host_, entry_port(entry, callers_offset), method, path, queue_host, body);
}

call_answer deployment::submit(const std::string& id, const std::string& body) {
    call_answer answer;
    for (std::size_t attempt = 0; attempt < 30; ++attempt) {
        const std::size_t entry = attempt % options_.entries;
        answer = call(entry, "POST", queue_prefix + id, body);
        log_.write("POST " + id + " at entry-" + std::to_string(entry) + ": " +
                   std::to_string(answer.status) + " (body of " + std::to_string(body.size()) +
                   " bytes)");
        if (answer.status != 0 && answer.status < 500 && answer.status != 429) {
            return answer;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return answer;
}

std::string deployment::state(const std::string& id) const {
    for (std::size_t entry = 0; entry < options_.entries; ++entry) {
        const call_answer answer = call(entry, "GET", queue_prefix + id, "");
        if (answer.status == 410) {
            return "gone";
        }
        const std::optional<rapidjson::Document> body = platform::parse_object(answer.body);
        if (answer.status == 200 && body) {
            return platform::text_in(*body, "state").value_or("");
        }
    }
    return "";
}

bool deployment::wait_ready() {
    const boot_time give_up_at = boot_now() + milliseconds(30000);
    const std::string id = job_id(1);
    bool accepted = false;
    while (boot_now() < give_up_at) {
        if (!accepted) {
            accepted = call(0, "POST", queue_prefix + id,
                            R"({"spec":"first","steps":[{"count":1,"cpu":100,"mem_mb":64,)"
                            R"("estimate_ms":100}]})")
                           .status == 200;
        } else if (state(id) == "completed") {
            log_.write("ready");
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

void deployment::on_standins(const std::function<void()>& function) const {
    std::promise<void> done;
    loop_.post([&function, &done] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace egretstile::review
