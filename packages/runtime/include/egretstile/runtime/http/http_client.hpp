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

/// Reason why a call has no valid response. Only `refused` says that nothing listens at the
/// server's address; after the other kinds the server may be running.
enum class http_failure_kind : std::uint8_t {
    refused,       ///< The host refused the connection.
    reset,         ///< The connection was reset.
    timed_out,     ///< Nothing was sent or received for the call's timeout, or for the kernel's.
    closed,        ///< The server closed the connection before the response was complete.
    unresolved,    ///< The server's address cannot be parsed or resolved.
    no_connection, ///< No connection for another reason, for example no route or the limit reached.
    malformed      ///< The response cannot be parsed or uses chunked transfer encoding.
};

inline constexpr std::array<enum_name<http_failure_kind>, 7> http_failure_kind_names{
    {{http_failure_kind::refused, "refused"},
     {http_failure_kind::reset, "reset"},
     {http_failure_kind::timed_out, "timed_out"},
     {http_failure_kind::closed, "closed"},
     {http_failure_kind::unresolved, "unresolved"},
     {http_failure_kind::no_connection, "no_connection"},
     {http_failure_kind::malformed, "malformed"}}};

/// A call without a valid response.
struct http_failure {
    http_failure_kind kind{http_failure_kind::no_connection};
    /// Whether a byte of the request was sent: the call may then have had an effect, or have one
    /// later. Otherwise it had none.
    bool sent{false};
};

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
    /// that waits for one of the limited connections for `timeout` fails with `no_connection`.
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
    /// A new connection when none is idle. Precondition: `has_free_connection`.
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
