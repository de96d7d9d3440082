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
                             handlers callbacks)
    : protocol_(protocol)
    , handlers_(std::move(callbacks))
    , adopted_(config_age_limit)
    , view_(
          loop, store, protocol.prefix(), watch_wait_for(config_age_limit),
          view_confirmation::listings,
          {[this](const store_item& item) { apply_change(item); }, [this] { handle_listing(); }}) {}

void operator_view::handle_listing() {
    if (!view_.confirmed_at()) {
        return;
    }
    adopted_.confirm(adopted_.version(), *view_.confirmed_at());
    closed_domain_set listed;
    listed.as_of = view_.listed_revision();
    for (const auto& [key, closure] : closure_keys_) {
        listed.closures[closure.domain] = closure.revision;
    }
    merge_closed(listed, view_.confirmed_at());
}

void operator_view::merge_closed(const closed_domain_set& domains,
                                 std::optional<boot_time> confirmed_at) {
    const std::set<failure_domain_name> before = closed_.names();
    closed_.merge(domains);
    handle_closed_change(before);
    if (confirmed_at) {
        closed_.confirm(*confirmed_at);
        handlers_.on_closed_domains_confirmed();
    }
}

void operator_view::handle_closed_change(const std::set<failure_domain_name>& before) {
    const closed_domain_set& known = closed_.known();
    bool changed = false;
    for (const auto& [name, revision] : known.closures) {
        if (before.count(name) == 0) {
            changed = true;
            write_log(log_part::config, log_level::info, "A failure domain is out of service.",
                      "domain=" + name + " revision=" + std::to_string(revision));
        }
    }
    for (const failure_domain_name& name : before) {
        if (!closed_.is_closed(name)) {
            changed = true;
            write_log(log_part::config, log_level::info, "A failure domain is in service again.",
                      "domain=" + name);
        }
    }
    if (changed) {
        handlers_.on_change();
    }
}

void operator_view::apply_change(const store_item& item) {
    if (item.key == protocol_.config_key()) {
        config_revision_ = std::max(config_revision_, item.revision);
    }
    const std::set<failure_domain_name> before = closed_.names();
    if (item.revision == 0) {
        const auto found = closure_keys_.find(item.key);
        if (found != closure_keys_.end()) {
            closed_.reopen(found->second.domain);
            closure_keys_.erase(found);
            handle_closed_change(before);
        }
        return;
    }
    const operator_record record = protocol_.decode(item.key, item.value);
    if (const malformed_record* const malformed = std::get_if<malformed_record>(&record)) {
        write_log(log_part::config, log_level::warning, "Ignored a malformed key of the operators.",
                  "key=" + item.key + " reason=\"" + malformed->reason + "\"");
        return;
    }
    if (const closed_domain* const closure = std::get_if<closed_domain>(&record)) {
        closure_keys_[item.key] = {closure->name, item.revision};
        closed_.close(closure->name, item.revision);
        handle_closed_change(before);
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
    handlers_.on_change();
}

} // namespace egretstile::daemon
