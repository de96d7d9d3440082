#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>

namespace egretstile::wire {

/// Why received bytes were not accepted as a message.
enum class frame_error : std::uint8_t {
    too_long, ///< The declared length exceeds `max_payload_bytes`.
    wrong_version,
    wrong_mac, ///< Another key, changed bytes, or a repeated, missing or reordered frame.
    unknown_type,
    malformed ///< The payload does not decode as the declared type.
};

inline constexpr std::array<enum_name<frame_error>, 5> frame_error_names{
    {{frame_error::too_long, "too_long"},
     {frame_error::wrong_version, "wrong_version"},
     {frame_error::wrong_mac, "wrong_mac"},
     {frame_error::unknown_type, "unknown_type"},
     {frame_error::malformed, "malformed"}}};

} // namespace egretstile::wire
