#pragma once

#include "process.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretstile::harness {

/// Path of a program of this build, for example `egretstile-standin-kv`.
std::string program_path(const std::string& name);

/// Command line and files of a program. The program writes its ports as one JSON object to
/// `ports_file` when it is ready.
struct launch_options {
    std::string program;
    std::vector<std::string> arguments;
    std::string ports_file;
    std::string output_file;
};

/// A started program and its ports. Not thread-safe.
class launched_program {
public:
    /// Starts the program and waits until it is ready. Throws std::runtime_error with the last
    /// 2000 bytes of its output when it exits or is not ready within 20 s.
    explicit launched_program(const launch_options& options);

    /// Port with this name in the ports file. Throws std::out_of_range.
    std::uint16_t port(const std::string& name) const { return ports_.at(name); }

    process& child() { return *process_; }

private:
    void wait_ready(const launch_options& options);

    std::unique_ptr<process> process_;
    std::map<std::string, std::uint16_t> ports_;
};

} // namespace egretstile::harness
