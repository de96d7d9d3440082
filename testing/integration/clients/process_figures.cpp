#include "process_figures.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace egretstile::platform::standins {

std::size_t peak_memory_kb(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            std::size_t size = 0;
            status >> size;
            return size;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    std::error_code error;
    std::size_t count = 0;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error);
    while (!error && entry != std::filesystem::directory_iterator()) {
        ++count;
        entry.increment(error);
    }
    return count;
}

} // namespace egretstile::platform::standins
