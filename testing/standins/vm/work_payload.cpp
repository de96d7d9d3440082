#include "vm/work_payload.hpp"

#include <charconv>
#include <map>
#include <memory>
#include <sstream>

namespace egretstile::standins {

namespace {

constexpr std::chrono::milliseconds default_work{100};
constexpr const char* token_prefix = "progress_us=";

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
    Number number{0};
    const char* const end = std::to_address(text.end());
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::map<std::string, std::string> parse_fields(const std::string& text) {
    std::map<std::string, std::string> fields;
    std::istringstream input(text);
    std::string field;
    while (std::getline(input, field, ';')) {
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos) {
            fields[field.substr(0, equals)] = field.substr(equals + 1);
        }
    }
    return fields;
}

} // namespace

work_payload parse_payload(const std::string& text, task_kind kind) {
    std::map<std::string, std::string> fields = parse_fields(text);
    work_payload payload;
    if (const auto work = parse_number<std::int64_t>(fields["work_ms"])) {
        payload.work = std::chrono::milliseconds(*work);
    } else if (kind != task_kind::watch) {
        payload.work = default_work;
    }
    if (fields.contains("result")) {
        payload.result = fields["result"];
    }
    payload.failing_attempts =
        parse_number<attempt_number>(fields["fail"]).value_or(payload.failing_attempts);
    payload.use_percent =
        parse_number<std::uint32_t>(fields["use_percent"]).value_or(payload.use_percent);
    return payload;
}

std::optional<std::chrono::microseconds> progress_of(const std::string& checkpoint) {
    if (checkpoint.empty()) {
        return std::chrono::microseconds(0);
    }
    if (!checkpoint.starts_with(token_prefix)) {
        return std::nullopt;
    }
    const auto count =
        parse_number<std::int64_t>(checkpoint.substr(std::string(token_prefix).size()));
    if (!count) {
        return std::nullopt;
    }
    return std::chrono::microseconds(*count);
}

std::string checkpoint_of(std::chrono::microseconds progress) {
    return token_prefix + std::to_string(progress.count());
}

} // namespace egretstile::standins
