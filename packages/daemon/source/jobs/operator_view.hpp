#pragma once

#include "jobs/prefix_view.hpp"

#include <egretstile/core/job/adopted_config.hpp>
#include <egretstile/core/job/closed_domains.hpp>
#include <egretstile/infrastructure/operators/operator_protocol.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace egretstile::daemon {

/// Copy of the operators' keys in the store: the configuration and the failure domains that are out
/// of service. A configuration is never replaced by an earlier version, and counts as current only
/// for a limited time after the store has confirmed it. For the event loop's thread only.
class operator_view {
public:
    struct handlers {
        /// The configuration or the closed failure domains have changed.
        std::function<void()> on_change;
        /// The closed failure domains were confirmed to be complete.
        std::function<void()> on_closed_domains_confirmed;
    };

    /// Operators expect a change to be in force everywhere within `config_age_limit`.
    operator_view(event_loop& loop, infrastructure::coordination_store& store,
                  const infrastructure::operator_protocol& protocol, milliseconds config_age_limit,
                  handlers callbacks);

    void start() { view_.start(); }

    /// Nothing until a configuration has been read.
    const std::optional<operator_config>& config() const { return adopted_.config(); }

    /// As `adopted_config::is_current`.
    bool is_current(boot_time now) const { return adopted_.is_current(now); }

    /// Revision of the last value that was read of the configuration's key, also if it could not be
    /// decoded; zero before.
    revision_number config_revision() const { return config_revision_; }

    /// Adopts a configuration that another process has read at this revision, unless it is earlier.
    void offer(const operator_config& config, revision_number revision);

    /// Applies the configuration's key as another call to the store has read it.
    void apply_read(const infrastructure::store_item& item);

    /// Condition that holds while the store has the configuration that is adopted here.
    infrastructure::store_condition config_unchanged() const {
        return {protocol_.config_key(), config_revision_};
    }

    /// As `adopted_config::confirm`, for a confirmation that another process has got.
    void confirm(std::uint64_t version, boot_time time) { adopted_.confirm(version, time); }

    /// Failure domains that are out of service.
    const closed_domains& closed() const { return closed_; }

    /// Adds what another process knows of the closed failure domains, which was complete at
    /// `confirmed_at`; nothing: never.
    void merge_closed(const closed_domain_set& domains, std::optional<boot_time> confirmed_at);

    /// As `adopted_config::confirmed_at`.
    std::optional<boot_time> confirmed_at() const { return adopted_.confirmed_at(); }

private:
    void apply_change(const infrastructure::store_item& item);
    void apply_config(const operator_config& config, revision_number revision);
    void handle_listing();
    /// Logs which failure domains have been closed and opened since `before`, and reports a change.
    void handle_closed_change(const std::set<failure_domain_name>& before);

    struct closure_key {
        failure_domain_name domain;
        revision_number revision{0};
    };

    const infrastructure::operator_protocol& protocol_;
    handlers handlers_;
    adopted_config adopted_;
    revision_number config_revision_{0};
    closed_domains closed_;
    /// The closures that this process itself has read, by their keys in the store.
    std::map<std::string, closure_key> closure_keys_;
    prefix_view view_;
};

} // namespace egretstile::daemon
