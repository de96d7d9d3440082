#include "settings/settings_watch.hpp"

#include <system_error>
#include <utility>

namespace egretstile::daemon {

settings_watch::settings_watch(std::string path)
    : path_(std::move(path))
    , last_state_(read_state()) {}

bool settings_watch::check_for_change() {
    const file_state current = read_state();
    const bool changed = !(current == last_state_);
    last_state_ = current;
    return changed;
}

settings_watch::file_state settings_watch::read_state() const {
    std::error_code error;
    file_state state;
    state.written_at = std::filesystem::last_write_time(path_, error);
    if (error) {
        return last_state_;
    }
    state.size = std::filesystem::file_size(path_, error);
    return error ? last_state_ : state;
}

} // namespace egretstile::daemon
