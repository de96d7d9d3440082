#include <egretstile/wire/frame/frame_codec.hpp>
#include <egretstile/wire/message/message_codec.hpp>

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace egretstile::wire {

namespace {

/// SHA-256 engine with the constants that Poco::HMACEngine requires of its template argument.
class sha256_engine : public Poco::SHA2Engine {
public:
    enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 }; // NOLINT(readability-identifier-naming)

    sha256_engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

using hmac_engine = Poco::HMACEngine<sha256_engine>;

/// Layout of a frame, sizes in bytes: payload length (4), version (1), type (1), MAC (16), payload.
/// The MAC covers all other fields and the frame's sequence number, which both sides count and do
/// not send.
constexpr std::size_t length_offset = 0;
constexpr std::size_t version_offset = 4;
constexpr std::size_t type_offset = 5;
constexpr std::size_t mac_offset = 6;
constexpr std::size_t header_bytes = mac_offset + mac_bytes;

/// Decoded bytes are erased from the front of the buffer once there are at least this many.
constexpr std::size_t compact_threshold_bytes = 64 * 1024;

std::string frame_mac(const std::string& key, std::uint64_t sequence, std::string_view prefix,
                      std::string_view payload) {
    hmac_engine engine(key);
    engine.update(&sequence, sizeof(sequence));
    engine.update(prefix.data(), prefix.size());
    engine.update(payload.data(), payload.size());
    const Poco::DigestEngine::Digest& digest = engine.digest();
    return {digest.begin(), digest.begin() + mac_bytes};
}

/// Compares in constant time, so that the duration does not reveal how many bytes match.
bool equal_macs(std::string_view left, std::string_view right) {
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t i = 0; i < std::min(left.size(), right.size()); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

} // namespace

std::string derive_frame_key(std::string_view deployment_key, const nonce& client,
                             const nonce& server, frame_direction direction) {
    hmac_engine engine{std::string(deployment_key)};
    engine.update(client.data(), client.size());
    engine.update(server.data(), server.size());
    const std::uint8_t side = static_cast<std::uint8_t>(direction);
    engine.update(&side, sizeof(side));
    const Poco::DigestEngine::Digest& digest = engine.digest();
    return {digest.begin(), digest.end()};
}

frame_encoder::frame_encoder(std::string key)
    : key_(std::move(key)) {}

std::string frame_encoder::encode(const message& value) {
    const std::string payload = encode_message(value);
    const std::uint32_t length = static_cast<std::uint32_t>(payload.size());
    std::string frame(mac_offset, '\0');
    std::memcpy(&frame[length_offset], &length, sizeof(length));
    frame[version_offset] = static_cast<char>(frame_version);
    frame[type_offset] = static_cast<char>(type_of(value));
    frame += frame_mac(key_, sequence_, std::string_view(frame).substr(0, mac_offset), payload);
    frame += payload;
    ++sequence_;
    return frame;
}

frame_decoder::frame_decoder(std::string key)
    : key_(std::move(key)) {}

void frame_decoder::append(std::string_view bytes) {
    if (consumed_ >= compact_threshold_bytes) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

std::optional<std::variant<message, frame_error>> frame_decoder::next() {
    if (error_.has_value()) {
        return *error_;
    }
    const std::string_view unread = std::string_view(buffer_).substr(consumed_);
    if (unread.size() < header_bytes) {
        return std::nullopt;
    }
    std::uint32_t length{0};
    std::memcpy(&length, &unread[length_offset], sizeof(length));
    if (length > max_payload_bytes) {
        error_ = frame_error::too_long;
        return *error_;
    }
    if (static_cast<std::uint8_t>(unread[version_offset]) != frame_version) {
        error_ = frame_error::wrong_version;
        return *error_;
    }
    if (unread.size() < header_bytes + length) {
        return std::nullopt;
    }
    const std::string_view payload = unread.substr(header_bytes, length);
    const std::string expected = frame_mac(key_, sequence_, unread.substr(0, mac_offset), payload);
    if (!equal_macs(expected, unread.substr(mac_offset, mac_bytes))) {
        error_ = frame_error::wrong_mac;
        return *error_;
    }
    std::variant<message, frame_error> result =
        decode_message(static_cast<std::uint8_t>(unread[type_offset]), payload);
    if (const frame_error* const error = std::get_if<frame_error>(&result)) {
        error_ = *error;
        return result;
    }
    ++sequence_;
    consumed_ += header_bytes + length;
    if (consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
    }
    return result;
}

} // namespace egretstile::wire
