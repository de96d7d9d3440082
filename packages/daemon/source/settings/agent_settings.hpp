#pragma once

#include "settings/entry_settings.hpp"

#include <string>
#include <vector>

namespace egretstile::daemon {

struct agent_settings {
    common_settings common;
    std::string vm{"vm"};
    std::string failure_domain;
    /// Address on which the agent receives announcements of the upstream of this VM.
    endpoint announce;
    endpoint worker;
    milliseconds worker_timeout{1000};
    /// Addresses of the entries to contact first; heartbeat replies list the current entries.
    std::vector<endpoint> entries;
    /// An upstream whose last announcement is older than this counts as absent.
    milliseconds announce_lifetime{2000};
    /// Maximum number of requests that wait for a slot of the upstream.
    std::uint32_t max_waiting{56};
    milliseconds stop_timeout{30000};
};

} // namespace egretstile::daemon
