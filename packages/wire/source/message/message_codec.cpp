#include "message/bounded_archive.hpp"

#include <egretstile/wire/message/message_codec.hpp>
#include <egretstile/wire/message/serialize.hpp>

#include <array>
#include <cstddef>
#include <exception>
#include <utility>

namespace egretstile::wire {

namespace {

using decode_function = std::variant<message, frame_error> (*)(std::string_view);

template <typename Message>
std::variant<message, frame_error> decode_as(std::string_view payload) {
    try {
        input_archive archive(payload);
        Message value;
        archive(value);
        if (archive.remaining() != 0) {
            return frame_error::malformed;
        }
        return message(std::move(value));
    } catch (const std::exception&) {
        return frame_error::malformed;
    }
}

template <std::size_t... Index>
constexpr std::array<decode_function, sizeof...(Index)>
make_decoders(std::index_sequence<Index...> /*types*/) {
    return {&decode_as<std::variant_alternative_t<Index, message>>...};
}

constexpr std::size_t type_count = std::variant_size_v<message>;
constexpr std::array<decode_function, type_count> decoders =
    make_decoders(std::make_index_sequence<type_count>());

} // namespace

std::uint8_t type_of(const message& value) {
    return static_cast<std::uint8_t>(value.index());
}

std::string encode_message(const message& value) {
    std::string payload;
    output_archive archive(payload);
    std::visit([&archive](const auto& content) { archive(content); }, value);
    return payload;
}

std::variant<message, frame_error> decode_message(std::uint8_t type, std::string_view payload) {
    if (type >= decoders.size()) {
        return frame_error::unknown_type;
    }
    return decoders.at(type)(payload);
}

} // namespace egretstile::wire
