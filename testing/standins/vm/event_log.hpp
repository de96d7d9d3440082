#pragma once

#include <egretstile/core/base/boot_time.hpp>

#include <Poco/JSON/Object.h>

#include <fstream>
#include <mutex>
#include <string>

namespace egretstile::standins {

/// Appends each event to a file as one line of JSON and flushes it. All events have the fields
/// `event`, `at_ns` (boot clock), `vm` and `domain`. Thread-safe.
class event_log {
public:
    /// With an empty path all events are discarded. Throws std::exception when the file cannot be
    /// opened.
    event_log(const std::string& path, std::string vm, std::string domain);

    void write(const std::string& event, boot_time at, Poco::JSON::Object fields);

private:
    std::mutex mutex_;
    std::ofstream output_;
    std::string vm_;
    std::string domain_;
};

} // namespace egretstile::standins
