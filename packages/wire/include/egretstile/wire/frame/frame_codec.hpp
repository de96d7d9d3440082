#pragma once

#include <egretstile/wire/frame/frame_error.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace egretstile::wire {

constexpr std::uint8_t frame_version = 8;
/// Largest payload of a frame; larger than any request body and any heartbeat.
constexpr std::size_t max_payload_bytes = 4 * 1024 * 1024;
constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t mac_bytes = 16;

using nonce = std::array<char, nonce_bytes>;

/// Which side of the connection wrote a frame.
enum class frame_direction : std::uint8_t { from_client, from_server };

/// Derives the MAC key of one direction of one connection from the deployment key and the nonces of
/// both sides, so that frames of another connection or of the other direction fail the MAC check.
/// Thread-safe.
std::string derive_frame_key(std::string_view deployment_key, const nonce& client,
                             const nonce& server, frame_direction direction);

/// Encodes the frames of one direction of one connection. Not thread-safe.
class frame_encoder {
public:
    explicit frame_encoder(std::string key);

    /// Encodes `value` as the next frame. Precondition: its payload is at most `max_payload_bytes`.
    std::string encode(const message& value);

private:
    std::string key_;
    std::uint64_t sequence_{0};
};

/// Decodes the byte stream of one direction of one connection. Not thread-safe.
class frame_decoder {
public:
    explicit frame_decoder(std::string key);

    /// Appends received bytes to the buffer.
    void append(std::string_view bytes);

    /// The next message, an error, or std::nullopt when the next frame is still incomplete. After
    /// an error the connection must be closed: every later call returns the same error.
    std::optional<std::variant<message, frame_error>> next();

private:
    std::string key_;
    std::string buffer_;
    std::size_t consumed_{0};
    std::uint64_t sequence_{0};
    std::optional<frame_error> error_;
};

} // namespace egretstile::wire
