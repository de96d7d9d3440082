#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace egretstile::daemon {

/// Notices that a file was written or replaced. Not thread-safe.
class settings_watch {
public:
    explicit settings_watch(std::string path);

    /// Whether the file has changed since the last call. A file that is missing for a moment, while
    /// it is being replaced, has not.
    bool take_change();

private:
    struct file_state {
        std::filesystem::file_time_type written_at{};
        std::uintmax_t size{0};

        friend bool operator==(const file_state&, const file_state&) = default;
    };

    /// The last known state when the file cannot be read.
    file_state read_state() const;

    std::string path_;
    file_state known_;
};

} // namespace egretstile::daemon
