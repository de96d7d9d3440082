#include "settings/settings_watch.hpp"

#include <system_error>
#include <utility>

namespace egretstile::daemon {

settings_watch::settings_watch(std::string path)
    : path_(std::move(path))
    , known_(read_state()) {}

bool settings_watch::take_change() {
    const file_state present = read_state();
    const bool changed = !(present == known_);
    known_ = present;
    return changed;
}

settings_watch::file_state settings_watch::read_state() const {
    std::error_code missing;
    file_state state;
    state.written_at = std::filesystem::last_write_time(path_, missing);
    if (missing) {
        return known_;
    }
    state.size = std::filesystem::file_size(path_, missing);
    return missing ? known_ : state;
}

} // namespace egretstile::daemon
