#include <egretstile/runtime/net/keep_alive.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace egretstile {

namespace {

constexpr int idle_seconds_before_probes = 4;
constexpr int seconds_between_probes = 2;
constexpr int unanswered_probes = 3;
/// The same time for data that the peer does not acknowledge.
constexpr int unacknowledged_data_ms = 10000;

} // namespace

void enable_keep_alive(Poco::Net::StreamSocket& socket) {
    try {
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds_before_probes);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds_between_probes);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, unanswered_probes);
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_data_ms);
    } catch (const Poco::Exception& error) {
        write_log(log_part::net, log_level::warning, "Cannot set the keep-alive of a connection.",
                  "reason=\"" + error.displayText() + "\"");
    }
}

} // namespace egretstile
