#include "common/service_process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace egretstile::standins {

namespace {

sigset_t termination_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_termination_signals() {
    const sigset_t signals = termination_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination_signal() {
    const sigset_t signals = termination_signals();
    int received = 0;
    ::sigwait(&signals, &received);
}

void write_ports_file(const std::string& path, const std::map<std::string, std::uint16_t>& ports) {
    if (path.empty()) {
        return;
    }
    const std::string temporary_path = path + ".new";
    {
        std::ofstream output(temporary_path);
        output.exceptions(std::ios::badbit | std::ios::failbit);
        const char* separator = "{";
        for (const auto& [name, port] : ports) {
            output << separator << '"' << name << "\":" << port;
            separator = ",";
        }
        output << "}\n";
    }
    std::filesystem::rename(temporary_path, path);
}

} // namespace egretstile::standins
