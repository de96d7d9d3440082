#include "jobs/operator_view.hpp"

#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

using namespace infrastructure;

namespace {

/// Shortens the time until a connection that has fallen silent is noticed.
constexpr milliseconds max_watch_wait{1000};

/// Leaves time for a call without an answer before the configuration stops being current.
milliseconds watch_wait_for(milliseconds config_age_limit) {
    return std::min(max_watch_wait, config_age_limit / 2);
}

} // namespace

operator_view::operator_view(event_loop& loop, coordination_store& store,
                             const operator_protocol& protocol, milliseconds config_age_limit,
                             std::function<void()> on_change)
    : protocol_(protocol)
    , on_change_(std::move(on_change))
    , adopted_(config_age_limit)
    , view_(
          loop, store, protocol.prefix(), watch_wait_for(config_age_limit),
          view_confirmation::listings,
          {[this](const store_item& item) { apply_change(item); }, [this] { handle_listing(); }}) {}

std::set<failure_domain_name> operator_view::closed_domains() const {
    std::set<failure_domain_name> domains;
    for (const auto& [key, name] : closed_domains_) {
        domains.insert(name);
    }
    return domains;
}

void operator_view::handle_listing() {
    if (view_.confirmed_at()) {
        adopted_.confirm(adopted_.version(), *view_.confirmed_at());
    }
}

void operator_view::apply_change(const store_item& item) {
    if (item.key == protocol_.config_key()) {
        config_revision_ = std::max(config_revision_, item.revision);
    }
    if (item.revision == 0) {
        const auto found = closed_domains_.find(item.key);
        if (found != closed_domains_.end()) {
            write_log(log_part::config, log_level::info, "A failure domain is in service again.",
                      "domain=" + found->second);
            closed_domains_.erase(found);
            on_change_();
        }
        return;
    }
    const operator_record record = protocol_.decode(item.key, item.value);
    if (const malformed_record* const malformed = std::get_if<malformed_record>(&record)) {
        write_log(log_part::config, log_level::warning, "Ignored a malformed key of the operators.",
                  "key=" + item.key + " reason=\"" + malformed->reason + "\"");
        return;
    }
    if (const closed_domain* const closed = std::get_if<closed_domain>(&record)) {
        write_log(log_part::config, log_level::info, "A failure domain is out of service.",
                  "domain=" + closed->name + " revision=" + std::to_string(item.revision));
        closed_domains_[item.key] = closed->name;
        on_change_();
        return;
    }
    if (const operator_config* const config = std::get_if<operator_config>(&record)) {
        apply_config(*config, item.revision);
    }
}

void operator_view::offer(const operator_config& config, revision_number revision) {
    if (revision > config_revision_) {
        config_revision_ = revision;
        apply_config(config, revision);
    }
}

void operator_view::apply_read(const store_item& item) {
    if (item.key == protocol_.config_key() && item.revision > config_revision_) {
        apply_change(item);
    }
}

void operator_view::apply_config(const operator_config& config, revision_number revision) {
    if (!adopted_.adopt(config)) {
        return;
    }
    write_log(log_part::config, log_level::info, "Applied a configuration.",
              "version=" + std::to_string(config.version) + " queues=" +
                  std::to_string(config.queues.size()) + " revision=" + std::to_string(revision));
    on_change_();
}

} // namespace egretstile::daemon
