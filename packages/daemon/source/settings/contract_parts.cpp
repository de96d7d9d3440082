#include "settings/contract_parts.hpp"

#include <cstddef>

namespace egretstile::daemon {

namespace {

std::string_view without_spaces(std::string_view text) {
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

} // namespace

bool is_part_in_force(std::string_view parts, std::string_view part) {
    while (!parts.empty()) {
        const std::size_t comma = parts.find(',');
        if (without_spaces(parts.substr(0, comma)) == part) {
            return true;
        }
        parts = comma == std::string_view::npos ? std::string_view() : parts.substr(comma + 1);
    }
    return false;
}

} // namespace egretstile::daemon
