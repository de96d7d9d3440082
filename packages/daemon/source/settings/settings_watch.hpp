#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace egretstile::daemon {

/// Detects that a file was written or replaced, by its modification time and size. Not thread-safe.
class settings_watch {
public:
    explicit settings_watch(std::string path);

    /// Whether the file has changed since the last call, or since construction. A file that cannot
    /// be read, for example while it is being replaced, counts as unchanged.
    bool check_for_change();

private:
    struct file_state {
        std::filesystem::file_time_type written_at{};
        std::uintmax_t size{0};

        friend bool operator==(const file_state&, const file_state&) = default;
    };

    /// Current state of the file; the last known state when it cannot be read.
    file_state read_state() const;

    std::string path_;
    file_state last_state_;
};

} // namespace egretstile::daemon
