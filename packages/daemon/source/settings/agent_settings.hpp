#pragma once

#include "settings/entry_settings.hpp"

#include <string>
#include <vector>

namespace egretstile::daemon {

struct agent_settings {
    common_settings common;
    std::string vm{"vm"};
    std::string failure_domain;
    /// Port on which the upstream of this VM announces itself.
    endpoint announce;
    endpoint worker;
    milliseconds worker_timeout{1000};
    /// Addresses of entries to start with; heartbeat replies give the current list.
    std::vector<endpoint> entries;
    /// An upstream that has not announced itself for this long is absent.
    milliseconds announce_lifetime{2000};
    /// Requests that wait for a slot, at most.
    std::uint32_t max_waiting{56};
    milliseconds stop_timeout{30000};
};

} // namespace egretstile::daemon
