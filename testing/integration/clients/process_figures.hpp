#pragma once

#include <sys/types.h>

#include <cstddef>

namespace egretstile::platform::standins {

/// Largest resident memory that the process has had, in kB; zero when it has ended.
std::size_t peak_memory_kb(pid_t process);

/// Number of descriptors that the process has open; zero when it has ended.
std::size_t open_descriptors(pid_t process);

} // namespace egretstile::platform::standins
