#pragma once

#include <cstdint>
#include <string>

namespace egretstile::daemon {

/// An error in a settings file.
struct settings_error {
    std::string file;
    /// Line in the file; zero when the error has no line, for example a missing setting.
    std::uint32_t line{0};
    /// Dotted name of the setting; empty when the file cannot be read or is not TOML.
    std::string setting;
    /// What is wrong and what is allowed.
    std::string message;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// The error as one line, `FILE:LINE: SETTING: MESSAGE`. Thread-safe.
std::string to_string(const settings_error& error);

} // namespace egretstile::daemon
