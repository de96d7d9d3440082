#pragma once

#include <string>

namespace egretstile::standins {

/// Body with which the upstream stand-in answers a request with `body`: length, checksum and the
/// body itself, so that a wrong, partial or foreign answer differs. Thread-safe.
std::string serve_answer(const std::string& body);

} // namespace egretstile::standins
