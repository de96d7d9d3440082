#include "command/log_timeline.hpp"

#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <map>
#include <sstream>

namespace egretstile::cli {

namespace {

constexpr const char* time_format = "%Y-%m-%dT%H:%M:%S.%iZ";

/// Time before and after the lines of a job from which context is shown. Clocks differ by less, and
/// a cause is logged shortly before its effect.
const Poco::Timespan context_period(1, 0);

/// Whether the line belongs to no job and either reports on a process and its dependencies or is
/// not of level `info`.
bool is_context(const log_line& line) {
    static const std::vector<std::string> parts{"process",    "settings", "net",   "config",
                                                "membership", "store",    "leader"};
    const bool is_process_part = std::find(parts.begin(), parts.end(), line.part) != parts.end();
    return line.field("job").empty() && (is_process_part || line.level != "info");
}

Poco::Timestamp parse_time(const log_line& line) {
    int zone = 0;
    Poco::DateTime time;
    // `parse_log_line` accepts only times in this format, so the result is not checked.
    Poco::DateTimeParser::tryParse(time_format, line.time, time, zone);
    return time.timestamp();
}

std::string format_time(const Poco::Timestamp& time) {
    return Poco::DateTimeFormatter::format(time, time_format);
}

std::int64_t milliseconds_between(const log_line& first, const log_line& second) {
    return (parse_time(second) - parse_time(first)) / 1000;
}

std::string format_fields(const log_line& line) {
    std::string text;
    for (const auto& [name, value] : line.fields) {
        const bool quoted = value.find(' ') != std::string::npos;
        text += " " + name + "=" + (quoted ? "\"" + value + "\"" : value);
    }
    return text;
}

/// First line whose message begins with `message`, or null.
const log_line* find_first(const std::vector<const log_line*>& lines, const std::string& message) {
    const auto found = std::find_if(lines.begin(), lines.end(), [&message](const log_line* line) {
        return line->message.compare(0, message.size(), message) == 0;
    });
    return found == lines.end() ? nullptr : *found;
}

/// Counts the lines with this message by the value of their field `name`.
std::map<std::string, std::size_t> count_by(const std::vector<const log_line*>& lines,
                                            const std::string& message, const std::string& name) {
    std::map<std::string, std::size_t> counts;
    for (const log_line* const line : lines) {
        if (line->message == message) {
            ++counts[line->field(name)];
        }
    }
    return counts;
}

std::string format_counts(const std::map<std::string, std::size_t>& counts) {
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    }
    return text.empty() ? "none" : text;
}

} // namespace

void log_timeline::read(std::istream& input, const std::string& default_source) {
    std::string text;
    while (std::getline(input, text)) {
        if (std::optional<log_line> line = parse_log_line(text, default_source)) {
            lines_.push_back(std::move(*line));
        } else if (!text.empty()) {
            ++skipped_;
        }
    }
    sort();
}

void log_timeline::sort() {
    std::stable_sort(lines_.begin(), lines_.end(), [](const log_line& left, const log_line& right) {
        return left.time < right.time;
    });
}

log_timeline log_timeline::filter_by_job(const std::string& job) const {
    log_timeline result;
    result.skipped_ = skipped_;
    const auto belongs_to_job = [&job](const log_line& line) { return line.field("job") == job; };
    const auto first = std::find_if(lines_.begin(), lines_.end(), belongs_to_job);
    if (first == lines_.end()) {
        return result;
    }
    const auto last = std::find_if(lines_.rbegin(), lines_.rend(), belongs_to_job);
    const std::string from = format_time(parse_time(*first) - context_period);
    const std::string to = format_time(parse_time(*last) + context_period);
    for (const log_line& line : lines_) {
        const bool in_period = line.time >= from && line.time <= to;
        if (belongs_to_job(line) || (in_period && is_context(line))) {
            result.lines_.push_back(line);
        }
    }
    return result;
}

std::string describe(const log_timeline& timeline) {
    std::string text;
    for (const log_line& line : timeline.lines()) {
        text += line.time + " " + line.source + " " + line.level + " " + line.part + ": " +
                line.message + format_fields(line) + "\n";
    }
    return text;
}

std::string to_json(const log_timeline& timeline) {
    std::ostringstream text;
    for (const log_line& line : timeline.lines()) {
        Poco::JSON::Object fields;
        for (const auto& [name, value] : line.fields) {
            fields.set(name, value);
        }
        Poco::JSON::Object object;
        object.set("time", line.time);
        object.set("source", line.source);
        object.set("level", line.level);
        object.set("part", line.part);
        object.set("sentence", line.message);
        object.set("fields", fields);
        object.stringify(text);
        text << "\n";
    }
    return text.str();
}

std::string summarize_job(const log_timeline& timeline, const std::string& job) {
    std::vector<const log_line*> lines;
    std::map<std::string, std::size_t> context_counts;
    for (const log_line& line : timeline.lines()) {
        if (line.field("job") == job) {
            lines.push_back(&line);
        } else {
            ++context_counts[line.part + ": " + line.message];
        }
    }
    if (lines.empty()) {
        return "";
    }
    std::ostringstream text;
    text << "job " << job << ": " << lines.size() << " lines from " << lines.front()->time << " to "
         << lines.back()->time << "\n";
    const log_line* const accepted = find_first(lines, "Accepted a job.");
    const log_line* const started = find_first(lines, "Starts a task.");
    if (accepted != nullptr && started != nullptr) {
        text << "  first start " << milliseconds_between(*accepted, *started)
             << " ms after the acceptance\n";
    }
    if (const log_line* const waits = find_first(lines, "A step waits")) {
        text << "  waited for room:" << format_fields(*waits) << "\n";
    }
    text << "  starts by VM: " << format_counts(count_by(lines, "Starts a task.", "vm")) << "\n"
         << "  ends: " << format_counts(count_by(lines, "A run ended.", "outcome")) << "\n";
    const std::map<std::string, std::size_t> given_up = count_by(lines, "Gave up a run.", "reason");
    if (!given_up.empty()) {
        text << "  runs given up: " << format_counts(given_up) << "\n";
    }
    for (const char* const end : {"A job is done.", "A job failed", "Cancelled a job.",
                                  "Refused a call", "Does not know whether"}) {
        if (const log_line* const line = find_first(lines, end)) {
            text << "  " << line->time << " " << line->source << ": " << line->message
                 << format_fields(*line) << "\n";
        }
    }
    for (const auto& [context_text, count] : context_counts) {
        text << "  meanwhile " << count << "x " << context_text << "\n";
    }
    return text.str();
}

} // namespace egretstile::cli
