#pragma once

#include "settings/agent_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <optional>
#include <string>
#include <variant>

namespace egretstile::daemon {

/// State that the upstream reports about itself.
struct announcement {
    std::string service;
    endpoint address;
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    wire::upstream_state state{wire::upstream_state::absent};
};

/// Parses the JSON body of an announcement; an error message when it is invalid. Thread-safe.
std::variant<announcement, std::string> parse_announcement(const std::string& body);

/// State of this VM's upstream, from its announcements. For the event loop's thread only.
class upstream_monitor {
public:
    explicit upstream_monitor(milliseconds lifetime)
        : lifetime_(lifetime) {}

    void update(const announcement& value, boot_time now);

    /// State of the last announcement; absent when it is older than the lifetime.
    wire::upstream_state state(boot_time now) const;

    /// Empty before the first announcement.
    const std::optional<announcement>& last_announcement() const { return last_announcement_; }

private:
    milliseconds lifetime_;
    std::optional<announcement> last_announcement_;
    boot_time updated_at_{};
};

} // namespace egretstile::daemon
