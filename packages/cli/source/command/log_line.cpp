#include "command/log_line.hpp"

#include <algorithm>
#include <regex>

namespace egretstile::cli {

namespace {

constexpr const char* blanks = " \t\r";

/// What collectors put between the name of a process and its line.
constexpr const char* source_separators = " \t|:[]";

std::string trimmed(const std::string& text, const char* characters) {
    const std::size_t first = text.find_first_not_of(characters);
    if (first == std::string::npos) {
        return "";
    }
    return text.substr(first, text.find_last_not_of(characters) - first + 1);
}

bool is_name(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](const char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') ||
               character == '_';
    });
}

/// Takes the last `NAME=VALUE` off the text; values in quotes may hold blanks.
std::optional<std::pair<std::string, std::string>> take_last_field(std::string& text) {
    std::size_t begin = std::string::npos;
    if (!text.empty() && text.back() == '"') {
        const std::size_t quote = text.find("=\"");
        begin = quote == std::string::npos ? quote : text.find_last_of(blanks, quote);
    } else {
        begin = text.find_last_of(blanks);
    }
    const std::string word = begin == std::string::npos ? text : text.substr(begin + 1);
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos || !is_name(word.substr(0, equals))) {
        return std::nullopt;
    }
    text = begin == std::string::npos ? "" : trimmed(text.substr(0, begin), blanks);
    return std::make_pair(word.substr(0, equals), trimmed(word.substr(equals + 1), "\""));
}

} // namespace

std::string log_line::field(const std::string& name) const {
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&name](const std::pair<std::string, std::string>& candidate) {
                                        return candidate.first == name;
                                    });
    return found == fields.end() ? std::string() : found->second;
}

std::optional<log_line> parse_log_line(const std::string& text, const std::string& file) {
    static const std::regex form("^(.*?)(\\d{4}-\\d{2}-\\d{2}T\\d{2}:\\d{2}:\\d{2}\\.\\d{3}Z) "
                                 "(debug|info|warning|error) ([a-z]+): (.*)$");
    std::smatch match;
    if (!std::regex_match(text, match, form)) {
        return std::nullopt;
    }
    log_line line;
    const std::string before = trimmed(match[1].str(), source_separators);
    // A collector's own time may stand before the name.
    line.source = before.empty() ? file : before.substr(before.find_last_of(blanks) + 1);
    line.time = match[2].str();
    line.level = match[3].str();
    line.part = match[4].str();
    std::string rest = trimmed(match[5].str(), blanks);
    while (std::optional<std::pair<std::string, std::string>> field = take_last_field(rest)) {
        line.fields.insert(line.fields.begin(), std::move(*field));
    }
    line.sentence = rest;
    return line;
}

} // namespace egretstile::cli
