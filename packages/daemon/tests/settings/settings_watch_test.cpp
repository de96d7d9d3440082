#include "settings/settings_watch.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace egretstile::daemon {
namespace {

/// A file that is removed at the end of the test.
class scratch_file {
public:
    scratch_file()
        : path_(std::filesystem::temp_directory_path() /
                ("settings-watch-" + std::to_string(getpid()))) {}

    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;
    scratch_file(scratch_file&&) = delete;
    scratch_file& operator=(scratch_file&&) = delete;

    ~scratch_file() { std::filesystem::remove(path_); }

    void write(const std::string& text) const { std::ofstream(path_) << text; }

    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

// Guards against a changed log level that is not taken up because no signal came with the change.
TEST_CASE("a settings file that was written or replaced is noticed once") {
    const scratch_file file;
    file.write("log_level = 'info'\n");
    settings_watch watch(file.path().string());
    CHECK_FALSE(watch.take_change());
    file.write("log_level = 'warning'\n");
    CHECK(watch.take_change());
    CHECK_FALSE(watch.take_change());
}

// Guards against a reload of a file that is just being replaced.
TEST_CASE("a settings file that is missing for a moment has not changed") {
    const scratch_file file;
    file.write("log_level = 'info'\n");
    settings_watch watch(file.path().string());
    std::filesystem::remove(file.path());
    CHECK_FALSE(watch.take_change());
    file.write("log_level = 'debug'\n");
    CHECK(watch.take_change());
}

} // namespace
} // namespace egretstile::daemon
