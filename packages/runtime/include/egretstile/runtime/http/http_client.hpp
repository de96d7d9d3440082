#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/runtime/http/http_message.hpp>
#include <egretstile/runtime/net/endpoint.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace egretstile {

/// Why a call has no response.
enum class http_failure : std::uint8_t {
    refused,   ///< Nothing listens at the address: the call had no effect.
    not_sent,  ///< No byte of the request was accepted by a connection: it had no effect.
    no_answer, ///< Sent; it may have had an effect, and may still have one later.
    malformed  ///< The response cannot be read.
};

inline constexpr std::array<enum_name<http_failure>, 4> http_failure_names{
    {{http_failure::refused, "refused"},
     {http_failure::not_sent, "not_sent"},
     {http_failure::no_answer, "no_answer"},
     {http_failure::malformed, "malformed"}}};

using http_result = std::variant<http_response, http_failure>;

class http_client_connection;

/// Calls to one HTTP/1.1 server over kept-open connections, one call at a time on each. For the
/// event loop's thread only; must not be destroyed from a callback.
class http_client {
public:
    using callback = std::function<void(http_result&&)>;

    http_client(event_loop& loop, endpoint server);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    /// Callbacks of calls under way are not called.
    ~http_client();

    const endpoint& server() const { return server_; }

    /// Calls `done` once, never from inside `call`. After `timeout` without any progress of the
    /// request or the response the call fails and its connection is closed, so that a late answer
    /// is not taken for another call's. A large response over a slow link may take longer.
    void call(http_request&& request, milliseconds timeout, callback done);

private:
    friend class http_client_connection;

    std::shared_ptr<http_client_connection> idle_connection();

    event_loop& loop_;
    endpoint server_;
    std::vector<std::shared_ptr<http_client_connection>> connections_;
};

} // namespace egretstile
