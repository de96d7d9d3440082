#include "command/log_line.hpp"

#include <algorithm>
#include <regex>

namespace egretstile::cli {

namespace {

constexpr const char* whitespace = " \t\r";

/// Characters that log collectors put between the name of a process and its line.
constexpr const char* source_separators = " \t|:[]";

std::string trim(const std::string& text, const char* characters) {
    const std::size_t first = text.find_first_not_of(characters);
    if (first == std::string::npos) {
        return "";
    }
    return text.substr(first, text.find_last_not_of(characters) - first + 1);
}

bool is_field_name(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](const char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    });
}

/// Removes the last `NAME=VALUE` from the text and returns it; nothing when the text does not end
/// with a field. Quoted values may contain spaces.
std::optional<std::pair<std::string, std::string>> extract_last_field(std::string& text) {
    std::size_t begin = std::string::npos;
    if (!text.empty() && text.back() == '"') {
        const std::size_t quote = text.find("=\"");
        begin = quote == std::string::npos ? quote : text.find_last_of(whitespace, quote);
    } else {
        begin = text.find_last_of(whitespace);
    }
    const std::string word = begin == std::string::npos ? text : text.substr(begin + 1);
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos || !is_field_name(word.substr(0, equals))) {
        return std::nullopt;
    }
    text = begin == std::string::npos ? "" : trim(text.substr(0, begin), whitespace);
    return std::make_pair(word.substr(0, equals), trim(word.substr(equals + 1), "\""));
}

} // namespace

std::string log_line::field(const std::string& name) const {
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&name](const std::pair<std::string, std::string>& candidate) {
                                        return candidate.first == name;
                                    });
    return found == fields.end() ? std::string() : found->second;
}

std::optional<log_line> parse_log_line(const std::string& text, const std::string& default_source) {
    static const std::regex pattern("^(.*?)(\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}Z) "
                                    "(debug|info|warning|error) ([a-z]+): (.*)$");
    std::smatch match;
    if (!std::regex_match(text, match, pattern)) {
        return std::nullopt;
    }
    log_line line;
    const std::string prefix = trim(match[1].str(), source_separators);
    // The log collector may have put its own time before the name.
    line.source =
        prefix.empty() ? default_source : prefix.substr(prefix.find_last_of(whitespace) + 1);
    line.time = match[2].str();
    line.level = match[3].str();
    line.part = match[4].str();
    std::string rest = trim(match[5].str(), whitespace);
    while (std::optional<std::pair<std::string, std::string>> field = extract_last_field(rest)) {
        line.fields.insert(line.fields.begin(), std::move(*field));
    }
    line.message = rest;
    return line;
}

} // namespace egretstile::cli
