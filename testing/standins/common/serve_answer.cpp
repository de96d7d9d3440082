#include "common/serve_answer.hpp"

#include <xxhash.h>

namespace egretstile::standins {

std::string serve_answer(const std::string& body) {
    const XXH64_hash_t checksum = XXH64(body.data(), body.size(), 0);
    return "served " + std::to_string(body.size()) + " " + std::to_string(checksum) + "\n" + body;
}

} // namespace egretstile::standins
