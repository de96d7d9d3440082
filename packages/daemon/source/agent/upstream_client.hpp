#pragma once

#include "net/blocking_pool.hpp"
#include "settings/entry_settings.hpp"

#include <egretstile/core/base/boot_time.hpp>
#include <egretstile/runtime/net/event_loop.hpp>
#include <egretstile/wire/message/messages.hpp>

#include <Poco/Net/HTTPClientSession.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// A request to the upstream.
struct upstream_call {
    endpoint address;
    std::string request_id;
    std::string body;
    std::string traceparent;
    boot_time deadline;
};

/// Result of a call. The outcome is `not_run` only when nothing was sent; it is `unknown` when the
/// answer is late or incomplete.
struct upstream_answer {
    wire::serve_outcome outcome{wire::serve_outcome::unknown};
    std::uint32_t http_status{0};
    std::string body;
};

/// Calls the upstream over persistent HTTP connections. Each call blocks one thread of a pool.
class upstream_client {
public:
    using answer_callback = std::function<void(upstream_answer)>;

    /// `threads` must be at least the number of concurrent calls that the caller allows.
    upstream_client(event_loop& loop, std::size_t threads);

    /// Calls `done` exactly once, on the loop's thread. For the event loop's thread only.
    void call(upstream_call request, answer_callback done);

private:
    using session_pointer = std::unique_ptr<Poco::Net::HTTPClientSession>;

    upstream_answer call_blocking(const upstream_call& request);
    session_pointer acquire_session(const endpoint& address);
    void release_session(const endpoint& address, session_pointer session);

    event_loop& loop_;
    std::mutex mutex_;
    std::map<std::string, std::vector<session_pointer>> idle_sessions_;
    blocking_pool threads_;
};

} // namespace egretstile::daemon
