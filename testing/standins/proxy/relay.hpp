#pragma once

#include "proxy/link_control.hpp"
#include "proxy/one_way_relay.hpp"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>

namespace egretstile::standins {

/// Relays one connection through the proxy, in a thread of its own. A connection that lost bytes
/// during a cut forwards nothing more and is reset when the cut ends, because the receiver could
/// not continue with the rest of the stream. Not thread-safe.
class relay {
public:
    relay(const Poco::Net::StreamSocket& client, std::shared_ptr<link_control> control);

    /// Returns when both sides have closed the connection, a rule closes it or it fails.
    void run();

private:
    /// Waits until the link to the target is not cut, then connects. Returns false when the
    /// connection must be reset instead.
    bool wait_for_target();
    /// Waits for input or a due chunk and forwards it. Returns false when the connection is closed.
    bool step();
    /// Whether a direction lost bytes during a cut that has ended.
    bool broken_by_ended_cut() const;
    void wait_for_input();
    /// With `reset`, both peers receive a TCP reset instead of an orderly end.
    void close(bool reset);

    Poco::Net::StreamSocket client_;
    Poco::Net::StreamSocket target_;
    std::shared_ptr<link_control> control_;
    /// Resets of the link when this connection was accepted; a higher count resets the connection.
    std::uint64_t initial_resets_;
    std::unique_ptr<one_way_relay> to_target_;
    std::unique_ptr<one_way_relay> to_client_;
};

} // namespace egretstile::standins
