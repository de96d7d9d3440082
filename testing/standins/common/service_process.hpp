#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace egretstile::standins {

/// Blocks SIGTERM and SIGINT. Call first in main, before any thread starts, so that all threads
/// inherit the mask and `wait_for_termination` gets the signal.
void block_termination();

/// Waits for SIGTERM or SIGINT.
void wait_for_termination();

/// Writes the ports as one JSON object, by renaming, so that a reader never sees half of it. Does
/// nothing for an empty path. Throws std::exception when the file cannot be written.
void write_ports_file(const std::string& path, const std::map<std::string, std::uint16_t>& ports);

} // namespace egretstile::standins
