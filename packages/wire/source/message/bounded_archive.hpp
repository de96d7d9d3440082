#pragma once

#include <cereal/cereal.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace egretstile::wire {

static_assert(std::endian::native == std::endian::little,
              "numbers are written in native byte order, which must be little-endian");

/// Appends values to a string: numbers in native byte order, lengths as 32-bit numbers.
class output_archive
    : public cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision> {
public:
    explicit output_archive(std::string& target)
        : cereal::OutputArchive<output_archive, cereal::AllowEmptyClassElision>(this)
        , target_(target) {}

    /// Appends `size` bytes. The name is required by cereal.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void saveBinary(const void* data, std::streamsize size) {
        target_.append(static_cast<const char*>(data), static_cast<std::size_t>(size));
    }

private:
    std::string& target_;
};

/// Reads values written by `output_archive`. Checks each length against the number of remaining
/// bytes before allocating memory, because cereal's own archives allocate any length that they
/// read. Throws cereal::Exception when the input is too short.
class input_archive : public cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision> {
public:
    explicit input_archive(std::string_view source)
        : cereal::InputArchive<input_archive, cereal::AllowEmptyClassElision>(this)
        , source_(source) {}

    /// Reads `size` bytes. The name is required by cereal. Throws cereal::Exception when fewer
    /// remain.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void loadBinary(void* data, std::streamsize size) {
        const std::size_t byte_count = static_cast<std::size_t>(size);
        if (byte_count > source_.size()) {
            throw cereal::Exception("message is truncated");
        }
        std::memcpy(data, source_.data(), byte_count);
        source_.remove_prefix(byte_count);
    }

    std::size_t remaining() const { return source_.size(); }

private:
    std::string_view source_;
};

template <typename Number>
requires std::is_arithmetic_v<Number>

void CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const Number& value) {
    archive.saveBinary(&value, sizeof(value));
}

template <typename Number>
requires std::is_arithmetic_v<Number>

void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, Number& value) {
    if constexpr (std::is_same_v<Number, bool>) {
        std::uint8_t byte{0};
        archive.loadBinary(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template <typename Size>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const cereal::SizeTag<Size>& tag) {
    const std::uint32_t length = static_cast<std::uint32_t>(tag.size);
    archive.saveBinary(&length, sizeof(length));
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, cereal::SizeTag<Size>& tag) {
    std::uint32_t length{0};
    archive.loadBinary(&length, sizeof(length));
    if (length > archive.remaining()) {
        throw cereal::Exception("declared length exceeds the remaining bytes of the message");
    }
    tag.size = length;
}

/// Serializes only the value: field names are not part of the format.
template <typename Archive, typename Value>
requires std::is_same_v<Archive, output_archive> || std::is_same_v<Archive, input_archive>

void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, cereal::NameValuePair<Value>& pair) {
    archive(pair.value);
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(output_archive& archive, const cereal::BinaryData<Value>& data) {
    archive.saveBinary(data.data, static_cast<std::streamsize>(data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(input_archive& archive, cereal::BinaryData<Value>& data) {
    archive.loadBinary(data.data, static_cast<std::streamsize>(data.size));
}

} // namespace egretstile::wire

CEREAL_REGISTER_ARCHIVE(egretstile::wire::output_archive)
CEREAL_REGISTER_ARCHIVE(egretstile::wire::input_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(egretstile::wire::input_archive, egretstile::wire::output_archive)
