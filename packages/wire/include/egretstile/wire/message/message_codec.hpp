#pragma once

#include <egretstile/wire/frame/frame_error.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace egretstile::wire {

/// Position of the message's type in `message`; the type field of a frame.
std::uint8_t type_of(const message& value);

/// Payload of `value`. Thread-safe.
std::string encode_message(const message& value);

/// Message of `type` from any bytes; all bytes must be used. Thread-safe.
std::variant<message, frame_error> decode_message(std::uint8_t type, std::string_view payload);

} // namespace egretstile::wire
