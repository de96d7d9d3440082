#include "settings/contract_parts.hpp"

#include <algorithm>

namespace egretstile::daemon {

namespace {

std::string_view trimmed(std::string_view text) {
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

} // namespace

bool has_contract_part(std::string_view parts, std::string_view name) {
    if (name.empty()) {
        return false;
    }
    while (true) {
        const std::size_t comma = std::min(parts.find(','), parts.size());
        if (trimmed(parts.substr(0, comma)) == name) {
            return true;
        }
        if (comma == parts.size()) {
            return false;
        }
        parts.remove_prefix(comma + 1);
    }
}

} // namespace egretstile::daemon
