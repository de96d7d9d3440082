#include "sheet/cell_reader.hpp"

#include <egretstile/core/plan/occurrence.hpp>

#include <algorithm>
#include <charconv>
#include <system_error>

namespace egretstile {

namespace {

constexpr std::size_t max_name_length = 100;

/// Parses an unsigned decimal number without a sign or white space. Returns nothing for any other
/// text and on overflow.
std::optional<std::int64_t> parse_unsigned(std::string_view text) {
    std::int64_t value{0};
    const char* const end = text.data() + text.size();
    if (text.empty() || text.front() < '0' || text.front() > '9') {
        return std::nullopt;
    }
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

/// Parses a number with at most three decimals and returns it in thousandths: 1250 for "1.25".
/// Returns nothing for any other text.
std::optional<std::int64_t> parse_thousandths(std::string_view text) {
    constexpr std::size_t max_decimals = 3;
    // Prevents an overflow when the number is converted to thousandths.
    constexpr std::int64_t max_units = 1'000'000'000'000;
    const std::size_t point = text.find('.');
    const std::optional<std::int64_t> units = parse_unsigned(text.substr(0, point));
    if (!units || *units > max_units) {
        return std::nullopt;
    }
    if (point == std::string_view::npos) {
        return *units * thousandths_per_unit;
    }
    std::string decimals(text.substr(point + 1));
    if (decimals.empty() || decimals.size() > max_decimals) {
        return std::nullopt;
    }
    decimals.append(max_decimals - decimals.size(), '0');
    const std::optional<std::int64_t> fraction = parse_unsigned(decimals);
    if (!fraction) {
        return std::nullopt;
    }
    return *units * thousandths_per_unit + *fraction;
}

bool is_name_character(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.';
}

/// Whether the text starts with a digit and contains a letter, for example "4GB".
bool has_unit(const std::string& text) {
    const auto is_letter = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    };
    return !text.empty() && text.front() >= '0' && text.front() <= '9' &&
           std::any_of(text.begin(), text.end(), is_letter);
}

} // namespace

const std::string& cell_reader::text(sheet_column column) const {
    return row_.cells.at(positions_.at(column));
}

std::string cell_reader::name(sheet_column column) {
    const std::string& value = text(column);
    if (value.empty() || value.size() > max_name_length ||
        !std::all_of(value.begin(), value.end(), is_name_character)) {
        add_error(column, "must be 1 to " + std::to_string(max_name_length) +
                              " letters a-z, digits, '-', '_' or '.'");
        return {};
    }
    return value;
}

std::int64_t cell_reader::thousandths(sheet_column column, std::int64_t max_value,
                                      bool zero_allowed) {
    const std::optional<std::int64_t> value = parse_thousandths(text(column));
    if (!value || *value > max_value * thousandths_per_unit || (*value == 0 && !zero_allowed)) {
        add_number_error(column, std::string("a number ") + (zero_allowed ? "from 0" : "above 0") +
                                     " to " + std::to_string(max_value) +
                                     ", at most three decimals");
        return 0;
    }
    return *value;
}

std::int64_t cell_reader::whole_number(sheet_column column, std::int64_t min_value,
                                       std::int64_t max_value) {
    const std::optional<std::int64_t> value = parse_unsigned(text(column));
    if (!value || *value < min_value || *value > max_value) {
        add_number_error(column, "a whole number from " + std::to_string(min_value) + " to " +
                                     std::to_string(max_value));
        return min_value;
    }
    return *value;
}

bool cell_reader::yes_or_no(sheet_column column) {
    const std::string value = lower_case(text(column));
    // Spreadsheets export check boxes as TRUE and FALSE.
    const bool yes = value == "yes" || value == "true";
    if (!yes && value != "no" && value != "false") {
        add_error(column, "must be yes or no");
    }
    return yes;
}

std::uint32_t cell_reader::minute_of_day(sheet_column column) {
    constexpr std::int64_t hours_per_day = 24;
    constexpr std::int64_t minutes_per_hour = 60;
    const std::string& value = text(column);
    const std::size_t colon = value.find(':');
    const bool well_formed = (colon == 1 || colon == 2) && value.size() == colon + 3;
    const std::optional<std::int64_t> hour = parse_unsigned(value.substr(0, colon));
    const std::optional<std::int64_t> minute =
        well_formed ? parse_unsigned(value.substr(colon + 1)) : std::nullopt;
    if (!hour || !minute || *hour >= hours_per_day || *minute >= minutes_per_hour) {
        add_error(column, "must be a time HH:MM from 00:00 to 23:59");
        return 0;
    }
    return static_cast<std::uint32_t>(*hour * minutes_per_hour + *minute);
}

std::string cell_reader::time_zone(sheet_column column) {
    if (!zone_offset(text(column))) {
        add_error(column, "must be one of " + supported_zones());
        return {};
    }
    return text(column);
}

void cell_reader::require_empty(sheet_column column, const std::string& reason) {
    if (!is_empty(column)) {
        add_error(column, "must be empty: " + reason);
    }
}

void cell_reader::add_error(sheet_column column, const std::string& message) {
    errors_.push_back(
        {row_.number, std::string(name_of(sheet_column_names, column)), text(column), message});
}

void cell_reader::add_number_error(sheet_column column, const std::string& allowed) {
    add_error(column, "must be " + allowed + (has_unit(text(column)) ? ", without a unit" : ""));
}

std::string cell_reader::lower_case(std::string_view text) {
    std::string lower(text);
    for (char& character : lower) {
        if (character >= 'A' && character <= 'Z') {
            character = static_cast<char>(character - 'A' + 'a');
        }
    }
    return lower;
}

} // namespace egretstile
