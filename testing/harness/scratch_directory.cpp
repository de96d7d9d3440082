#include "scratch_directory.hpp"

#include <cerrno>
#include <cstdlib>
#include <system_error>

namespace egretstile::harness {

scratch_directory::scratch_directory() {
    std::string name = (std::filesystem::temp_directory_path() / "egretstile-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "mkdtemp");
    }
    path_ = name;
}

scratch_directory::~scratch_directory() {
    if (std::getenv("EGRETSTILE_KEEP_SCRATCH") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
}

} // namespace egretstile::harness
