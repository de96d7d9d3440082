#pragma once

#include "settings/agent_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <optional>
#include <string>
#include <variant>

namespace egretstile::daemon {

/// What the upstream says of itself.
struct announcement {
    std::string service;
    endpoint address;
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    wire::upstream_state state{wire::upstream_state::absent};
};

/// Announcement of a JSON body, or a sentence that says what is wrong with it. Thread-safe.
std::variant<announcement, std::string> parse_announcement(const std::string& body);

/// The upstream of this VM, as it announces itself. For the event loop's thread only.
class upstream_monitor {
public:
    explicit upstream_monitor(milliseconds lifetime)
        : lifetime_(lifetime) {}

    void take(const announcement& value, boot_time now);

    /// Absent when no announcement is younger than the lifetime.
    wire::upstream_state state(boot_time now) const;

    /// Last announcement; nothing before the first.
    const std::optional<announcement>& last() const { return last_; }

private:
    milliseconds lifetime_;
    std::optional<announcement> last_;
    boot_time taken_at_{};
};

} // namespace egretstile::daemon
