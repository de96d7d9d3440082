#pragma once

#include <filesystem>
#include <string>

namespace egretstile::harness {

/// Temporary directory of one test. The destructor removes it unless the environment variable
/// `EGRETSTILE_KEEP_SCRATCH` is set.
class scratch_directory {
public:
    scratch_directory();
    scratch_directory(const scratch_directory&) = delete;
    scratch_directory& operator=(const scratch_directory&) = delete;
    scratch_directory(scratch_directory&&) = delete;
    scratch_directory& operator=(scratch_directory&&) = delete;
    ~scratch_directory();

    std::string file(const std::string& name) const { return (path_ / name).string(); }

private:
    std::filesystem::path path_;
};

} // namespace egretstile::harness
