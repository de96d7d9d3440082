#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormatter.h>
#include <easylogging++.h>

#include <mutex>
#include <string>

// Defines the storage of the logging library; must be in exactly one source file.
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables)
INITIALIZE_EASYLOGGINGPP

namespace egretstile {

namespace {

// Replace %datetime and %level of Easylogging++, which give local time and levels in capitals.
constexpr const char* time_specifier = "%utc_time";
constexpr const char* level_specifier = "%severity";

el::Level to_library_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return el::Level::Debug;
    case log_level::info:
        return el::Level::Info;
    case log_level::warning:
        return el::Level::Warning;
    case log_level::error:
        return el::Level::Error;
    }
    return el::Level::Error;
}

std::string utc_time(const el::LogMessage* /*record*/) {
    return Poco::DateTimeFormatter::format(Poco::DateTime(), "%Y-%m-%dT%H:%M:%S.%iZ");
}

std::string level_name(const el::LogMessage* record) {
    for (const enum_name<log_level>& row : log_level_names) {
        if (to_library_level(row.value) == record->level()) {
            return std::string(row.name);
        }
    }
    return "unknown";
}

/// Escapes line breaks, which text from peers may contain, so that a log entry stays on one line.
std::string escape_line_breaks(const std::string& text) {
    std::string line;
    line.reserve(text.size());
    for (const char character : text) {
        if (character == '\n') {
            line += "\\n";
        } else if (character == '\r') {
            line += "\\r";
        } else {
            line += character;
        }
    }
    return line;
}

void configure(log_level threshold) {
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Format, std::string(time_specifier) + " " +
                                                                  level_specifier +
                                                                  " %logger: %msg");
    for (const enum_name<log_level>& row : log_level_names) {
        configurations.set(to_library_level(row.value), el::ConfigurationType::Enabled,
                           row.value < threshold ? "false" : "true");
    }
    for (const enum_name<log_part>& row : log_part_names) {
        el::Loggers::reconfigureLogger(el::Loggers::getLogger(std::string(row.name)),
                                       configurations);
    }
}

void configure_once(log_level threshold) {
    static std::once_flag configured;
    std::call_once(configured, [threshold] {
        el::Helpers::installCustomFormatSpecifier(
            el::CustomFormatSpecifier(time_specifier, utc_time));
        el::Helpers::installCustomFormatSpecifier(
            el::CustomFormatSpecifier(level_specifier, level_name));
        configure(threshold);
    });
}

} // namespace

void set_log_level(log_level level) {
    configure_once(level);
    configure(level);
}

void write_log(log_part part, log_level level, const std::string& message,
               const std::string& fields) {
    configure_once(log_level::info);
    el::Logger* const logger =
        el::Loggers::getLogger(std::string(name_of(log_part_names, part)), false);
    if (logger == nullptr || !logger->enabled(to_library_level(level))) {
        return;
    }
    const std::string text = escape_line_breaks(fields.empty() ? message : message + " " + fields);
    switch (level) {
    case log_level::debug:
        logger->debug(text);
        break;
    case log_level::info:
        logger->info(text);
        break;
    case log_level::warning:
        logger->warn(text);
        break;
    case log_level::error:
        logger->error(text);
        break;
    }
}

} // namespace egretstile
