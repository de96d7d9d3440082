#pragma once

#include <string>

namespace egretstile::standins {

/// Body of the upstream stand-in's answer to a request with `body`. It consists of the length, a
/// checksum and the body itself, so that callers can detect an answer that is corrupt, truncated or
/// meant for another request. Thread-safe.
std::string serve_answer(const std::string& body);

} // namespace egretstile::standins
