#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>

namespace egretstile {

/// Why a server refused a request before its handler ran, or closed a connection.
enum class http_refusal : std::uint8_t {
    malformed_head,
    head_too_large,
    no_content_length, ///< The body is sent in chunks.
    body_too_large,
    unroutable,    ///< The handler's check of the header refused the request.
    no_memory,     ///< The address has used up its share of the memory.
    slow_head,     ///< The header took too long.
    slow_body,     ///< The body took too long.
    slow_reader,   ///< The client did not read the response.
    idle,          ///< No request arrived for the idle limit.
    no_connection, ///< Closed for another client, because too many connections are open.
    no_descriptor  ///< Accepting paused because the process has no free file descriptor.
};

inline constexpr std::array<enum_name<http_refusal>, 12> http_refusal_names{
    {{http_refusal::malformed_head, "malformed_head"},
     {http_refusal::head_too_large, "head_too_large"},
     {http_refusal::no_content_length, "no_content_length"},
     {http_refusal::body_too_large, "body_too_large"},
     {http_refusal::unroutable, "unroutable"},
     {http_refusal::no_memory, "no_memory"},
     {http_refusal::slow_head, "slow_head"},
     {http_refusal::slow_body, "slow_body"},
     {http_refusal::slow_reader, "slow_reader"},
     {http_refusal::idle, "idle"},
     {http_refusal::no_connection, "no_connection"},
     {http_refusal::no_descriptor, "no_descriptor"}}};

} // namespace egretstile
