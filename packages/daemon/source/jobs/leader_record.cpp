#include "jobs/leader_record.hpp"

#include <sstream>

namespace egretstile::daemon {

std::string encode_leader(const leader_record& record) {
    return std::to_string(record.epoch) + " " + to_string(record.address) + " " + record.name;
}

std::optional<leader_record> decode_leader(const std::string& text) {
    std::istringstream stream(text);
    leader_record record;
    std::string address;
    if (!(stream >> record.epoch >> address >> record.name)) {
        return std::nullopt;
    }
    const std::optional<endpoint> parsed = parse_endpoint(address);
    if (!parsed) {
        return std::nullopt;
    }
    record.address = *parsed;
    return record;
}

} // namespace egretstile::daemon
