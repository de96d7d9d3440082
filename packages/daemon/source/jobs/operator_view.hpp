#pragma once

#include "jobs/prefix_view.hpp"

#include <egretstile/core/job/operator_config.hpp>
#include <egretstile/infrastructure/operators/operator_protocol.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace egretstile::daemon {

/// The operators' configuration in force and the failure domains that are out of service. A later
/// version is never replaced by an earlier one. For the event loop's thread only.
class operator_view {
public:
    operator_view(event_loop& loop, infrastructure::coordination_store& store,
                  const infrastructure::operator_protocol& protocol, milliseconds watch_wait,
                  std::function<void()> on_change);

    void start() { view_.start(); }

    /// Nothing: no configuration has been read yet.
    const std::optional<operator_config>& config() const { return config_; }

    std::set<failure_domain_name> closed_domains() const;

    std::optional<boot_time> confirmed_at() const { return view_.confirmed_at(); }

private:
    void take_change(const infrastructure::store_item& item);

    const infrastructure::operator_protocol& protocol_;
    std::function<void()> on_change_;
    std::optional<operator_config> config_;
    /// Failure domain by its key.
    std::map<std::string, failure_domain_name> closed_;
    prefix_view view_;
};

} // namespace egretstile::daemon
