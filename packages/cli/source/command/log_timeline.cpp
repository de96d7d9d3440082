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

/// Around the job's lines: clocks differ by less, and a cause comes shortly before its effect.
const Poco::Timespan surroundings(1, 0);

/// Parts whose lines tell of a process and its dependencies rather than of one job.
bool tells_of_surroundings(const log_line& line) {
    static const std::vector<std::string> parts{"process",    "settings", "net",   "config",
                                                "membership", "store",    "leader"};
    const bool of_process = std::find(parts.begin(), parts.end(), line.part) != parts.end();
    return line.field("job").empty() && (of_process || line.level != "info");
}

Poco::Timestamp time_of(const log_line& line) {
    int zone = 0;
    Poco::DateTime time;
    // A line that was read has a time in this form.
    Poco::DateTimeParser::tryParse(time_format, line.time, time, zone);
    return time.timestamp();
}

std::string text_of(const Poco::Timestamp& time) {
    return Poco::DateTimeFormatter::format(time, time_format);
}

std::int64_t milliseconds_between(const log_line& first, const log_line& second) {
    return (time_of(second) - time_of(first)) / 1000;
}

std::string fields_of(const log_line& line) {
    std::string text;
    for (const auto& [name, value] : line.fields) {
        const bool quoted = value.find(' ') != std::string::npos;
        text += " " + name + "=" + (quoted ? "\"" + value + "\"" : value);
    }
    return text;
}

const log_line* find_first(const std::vector<const log_line*>& lines, const std::string& sentence) {
    const auto found = std::find_if(lines.begin(), lines.end(), [&sentence](const log_line* line) {
        return line->sentence.compare(0, sentence.size(), sentence) == 0;
    });
    return found == lines.end() ? nullptr : *found;
}

std::map<std::string, std::size_t> count_by(const std::vector<const log_line*>& lines,
                                            const std::string& sentence, const std::string& name) {
    std::map<std::string, std::size_t> counts;
    for (const log_line* const line : lines) {
        if (line->sentence == sentence) {
            ++counts[line->field(name)];
        }
    }
    return counts;
}

std::string listed(const std::map<std::string, std::size_t>& counts) {
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    }
    return text.empty() ? "none" : text;
}

} // namespace

void log_timeline::read(std::istream& input, const std::string& file) {
    std::string text;
    while (std::getline(input, text)) {
        if (std::optional<log_line> line = parse_log_line(text, file)) {
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

log_timeline log_timeline::of_job(const std::string& job) const {
    log_timeline result;
    result.skipped_ = skipped_;
    const auto is_of_job = [&job](const log_line& line) { return line.field("job") == job; };
    const auto first = std::find_if(lines_.begin(), lines_.end(), is_of_job);
    if (first == lines_.end()) {
        return result;
    }
    const auto last = std::find_if(lines_.rbegin(), lines_.rend(), is_of_job);
    const std::string from = text_of(time_of(*first) - surroundings);
    const std::string to = text_of(time_of(*last) + surroundings);
    for (const log_line& line : lines_) {
        const bool meanwhile = line.time >= from && line.time <= to;
        if (is_of_job(line) || (meanwhile && tells_of_surroundings(line))) {
            result.lines_.push_back(line);
        }
    }
    return result;
}

std::string describe(const log_timeline& timeline) {
    std::string text;
    for (const log_line& line : timeline.lines()) {
        text += line.time + " " + line.source + " " + line.level + " " + line.part + ": " +
                line.sentence + fields_of(line) + "\n";
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
        object.set("sentence", line.sentence);
        object.set("fields", fields);
        object.stringify(text);
        text << "\n";
    }
    return text.str();
}

std::string summarize_job(const log_timeline& timeline, const std::string& job) {
    std::vector<const log_line*> lines;
    std::map<std::string, std::size_t> surroundings_seen;
    for (const log_line& line : timeline.lines()) {
        if (line.field("job") == job) {
            lines.push_back(&line);
        } else {
            ++surroundings_seen[line.part + ": " + line.sentence];
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
        text << "  waited for room:" << fields_of(*waits) << "\n";
    }
    text << "  starts by VM: " << listed(count_by(lines, "Starts a task.", "vm")) << "\n"
         << "  ends: " << listed(count_by(lines, "A run ended.", "outcome")) << "\n";
    const std::map<std::string, std::size_t> given_up = count_by(lines, "Gave up a run.", "reason");
    if (!given_up.empty()) {
        text << "  runs given up: " << listed(given_up) << "\n";
    }
    for (const char* const end : {"A job is done.", "A job failed", "Cancelled a job.",
                                  "Refused a call", "Does not know whether"}) {
        if (const log_line* const line = find_first(lines, end)) {
            text << "  " << line->time << " " << line->source << ": " << line->sentence
                 << fields_of(*line) << "\n";
        }
    }
    for (const auto& [what, count] : surroundings_seen) {
        text << "  meanwhile " << count << "x " << what << "\n";
    }
    return text.str();
}

} // namespace egretstile::cli
