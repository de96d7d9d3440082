#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace egretstile::standins {

/// Blocks SIGTERM and SIGINT. Must be called in main before any thread starts, so that all threads
/// inherit the mask and `wait_for_termination_signal` receives the signal.
void block_termination_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_termination_signal();

/// Writes the ports to a file as one JSON object from names to ports. The file is written under
/// another name and then renamed, so that readers never see a partial file. Does nothing for an
/// empty path. Throws std::exception when the file cannot be written.
void write_ports_file(const std::string& path, const std::map<std::string, std::uint16_t>& ports);

} // namespace egretstile::standins
