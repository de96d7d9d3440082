#pragma once

#include <egretstile/wire/frame/frame_error.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace egretstile::wire {

/// Index of the value's type in the variant `message`; this is the type field of a frame.
/// Thread-safe.
std::uint8_t type_of(const message& value);

/// Encodes `value` as the payload of a frame. Thread-safe.
std::string encode_message(const message& value);

/// Decodes a message of type `type`. `payload` may hold any bytes; bytes left over after the
/// message are an error. Thread-safe.
std::variant<message, frame_error> decode_message(std::uint8_t type, std::string_view payload);

} // namespace egretstile::wire
