#pragma once

#include "cluster.hpp"

#include <egretstile/core/base/boot_time.hpp>

#include <Poco/JSON/Object.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretstile::integration {

/// Bound of the guarantees: after this time a drained upstream gets no more requests, and a change
/// of the plan is in force everywhere.
inline constexpr std::chrono::seconds guarantee_bound{4};

/// `entries` entries and three VMs, each in its own failure domain (north, central, south).
harness::cluster_options small_deployment(std::size_t entries);

/// Adds the argument `name` with `value`, such as `--service-us`, to the stand-in of every VM.
void add_vm_argument(harness::cluster_options& options, const std::string& name,
                     const std::string& value);

std::vector<std::uint16_t> callers_ports(const harness::cluster& cluster, std::size_t entries);

/// `GET /v1/status` or `GET /v1/plan` of an entry. Null when there was no complete answer with
/// status 200.
Poco::JSON::Object::Ptr read_json(const harness::cluster& cluster, std::size_t entry,
                                  const std::string& path);

/// Waits until each of the first `entries` entries reports exactly `ready_vms` VMs with a ready
/// upstream. Returns false on a time-out.
bool wait_until_serving(const harness::cluster& cluster, std::size_t entries,
                        std::size_t ready_vms = 3);

/// Reply to an operator's call that changes the plan. `status` is zero when there was no complete
/// answer.
struct change_reply {
    int status{0};
    std::string outcome;
    std::uint64_t version{0};
    std::uint64_t revision{0};
    /// Time at which the call had returned.
    boot_time received_at;
};

/// Sends `POST path` with the operators' token.
change_reply change_plan(const harness::cluster& cluster, std::size_t entry,
                         const std::string& path);

/// Plan revision of each VM's agent as this entry reports it.
std::map<std::string, std::uint64_t> agent_revisions(const harness::cluster& cluster,
                                                     std::size_t entry);

} // namespace egretstile::integration
