#pragma once

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/runtime/http/http_message.hpp>
#include <egretstile/runtime/net/endpoint.hpp>
#include <egretstile/runtime/net/event_loop.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace egretstile {

/// Reason why a call has no valid response.
enum class http_failure : std::uint8_t {
    refused,   ///< No connection, for example nothing listens: the call had no effect.
    not_sent,  ///< No byte of the request was sent: the call had no effect.
    no_answer, ///< Sent without a response: the call may have had an effect, or have one later.
    malformed  ///< The response cannot be parsed or uses chunked transfer encoding.
};

inline constexpr std::array<enum_name<http_failure>, 4> http_failure_names{
    {{http_failure::refused, "refused"},
     {http_failure::not_sent, "not_sent"},
     {http_failure::no_answer, "no_answer"},
     {http_failure::malformed, "malformed"}}};

using http_result = std::variant<http_response, http_failure>;

class http_client_connection;

/// Client of one HTTP/1.1 server. Reuses idle persistent connections and opens further ones as
/// needed, up to a limit; each connection carries one call at a time, and calls beyond the limit
/// wait for a connection. Must be used on the event loop's thread only and must not be destroyed
/// from a callback.
class http_client {
public:
    using callback = std::function<void(http_result&&)>;

    /// Limit for servers without one of their own.
    static constexpr std::size_t default_max_connections = 512;

    http_client(event_loop& loop, endpoint server,
                std::size_t max_connections = default_max_connections);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    /// The callbacks of pending calls are not called.
    ~http_client();

    const endpoint& server() const { return server_; }

    /// Sends the request and calls `done` once, never from inside `call`. The call fails when no
    /// byte was sent or received for `timeout`; its connection is then closed, so that a late
    /// response is not mistaken for that of another call. The idle connections are closed too,
    /// because all connections of a VM can fall silent at the same time. A response that keeps
    /// arriving, for example a large one over a slow link, may take longer than `timeout`. A call
    /// that gets no connection within `timeout` fails as not sent.
    void call(http_request&& request, milliseconds timeout, callback done);

private:
    friend class http_client_connection;

    /// A call that waits for a connection.
    struct waiting_call {
        std::string bytes;
        milliseconds timeout{0};
        boot_time give_up_at{};
        callback done;
    };

    /// Whether a call can be sent now, on an idle connection or on a new one.
    bool has_free_connection() const;
    /// Null when no connection can be opened. Precondition: `has_free_connection`.
    std::shared_ptr<http_client_connection> idle_connection();
    void close_idle_connections();
    /// Precondition: `has_free_connection`.
    void send(waiting_call&& call);
    /// Arranges that waiting calls are sent on connections that are free by then.
    void schedule_waiting_calls();
    void send_waiting_calls();
    void fail_expired_calls();

    event_loop& loop_;
    endpoint server_;
    std::size_t max_connections_;
    std::vector<std::shared_ptr<http_client_connection>> connections_;
    std::deque<waiting_call> waiting_;
    bool send_scheduled_{false};
    std::shared_ptr<int> alive_{std::make_shared<int>(0)};
};

} // namespace egretstile
