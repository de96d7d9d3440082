#include "vm/event_log.hpp"

#include <sstream>
#include <utility>

namespace egretstile::standins {

event_log::event_log(const std::string& path, std::string vm, std::string domain)
    : vm_(std::move(vm))
    , domain_(std::move(domain)) {
    if (!path.empty()) {
        output_.exceptions(std::ios::badbit | std::ios::failbit);
        output_.open(path, std::ios::app);
    }
}

void event_log::write(const std::string& event, boot_time at, Poco::JSON::Object fields) {
    fields.set("event", event);
    fields.set("at_ns", at.time_since_epoch().count());
    fields.set("vm", vm_);
    fields.set("domain", domain_);
    std::ostringstream line;
    fields.stringify(line);
    line << '\n';
    const std::lock_guard lock(mutex_);
    if (output_.is_open()) {
        output_ << line.str() << std::flush;
    }
}

} // namespace egretstile::standins
