#include "jobs/operator_view.hpp"

#include <egretstile/runtime/telemetry/log.hpp>

#include <utility>

namespace egretstile::daemon {

using namespace infrastructure;

operator_view::operator_view(event_loop& loop, coordination_store& store,
                             const operator_protocol& protocol, milliseconds watch_wait,
                             std::function<void()> on_change)
    : protocol_(protocol)
    , on_change_(std::move(on_change))
    , view_(loop, store, protocol.prefix(), watch_wait, view_confirmation::listings,
            {[this](const store_item& item) { apply_change(item); }, [] {}}) {}

std::set<failure_domain_name> operator_view::closed_domains() const {
    std::set<failure_domain_name> domains;
    for (const auto& [key, name] : closed_domains_) {
        domains.insert(name);
    }
    return domains;
}

void operator_view::apply_change(const store_item& item) {
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
    const operator_config* const config = std::get_if<operator_config>(&record);
    if (config == nullptr || (config_ && config->version < config_->version)) {
        return;
    }
    write_log(log_part::config, log_level::info, "Applied a configuration.",
              "version=" + std::to_string(config->version) +
                  " queues=" + std::to_string(config->queues.size()) +
                  " revision=" + std::to_string(item.revision));
    config_ = *config;
    on_change_();
}

} // namespace egretstile::daemon
