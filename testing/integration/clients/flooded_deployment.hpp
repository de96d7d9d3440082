#pragma once

#include "client_crowd.hpp"
#include "registry.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace egretstile::platform::standins {

/// Addresses and paths of an entry that clients outside the operators' control can reach.
enum class open_path { routed, unrouted, readiness };

/// An entry and an agent with lowered limits, and clients that exceed them. Use it on the thread
/// that created it (see `registry`).
class flooded_deployment {
public:
    explicit flooded_deployment(std::uint32_t max_fds = 1024);

    endpoint address(open_path path) const;
    /// POST requests to the path; with `method`, other ones.
    static request_target target(open_path path, const std::string& method = "POST");

    registry& processes() { return registry_; }

    client_crowd& crowd() { return *crowd_; }

    void set_store_available(bool available);

    /// Lets the clients send what their scripts say until nothing moves any more.
    void run_crowd();

    /// Submits a job of one short task, again and again until it is accepted.
    void check_accepted(const std::string& id);
    void check_completed(const std::string& id);

    /// Closes the clients' connections. Checks that an ordinary request is answered afterwards, and
    /// that the processes have lived and stayed within their limits.
    void check_afterwards();

private:
    struct peaks {
        std::size_t memory_kb{0};
        std::size_t descriptors{0};
    };

    /// Checks that the condition holds in the end while the entry lives.
    void check_in_the_end(const std::function<bool()>& condition);
    /// Returns whether the peaks have changed.
    bool observe();
    void check_limits(const std::string& name, harness::process& process, const peaks& highest);

    std::uint32_t max_fds_;
    registry registry_;
    std::unique_ptr<client_crowd> crowd_{std::make_unique<client_crowd>()};
    peaks entry_peaks_;
    peaks agent_peaks_;
};

} // namespace egretstile::platform::standins
