#pragma once

#include "proxy/half_relay.hpp"
#include "proxy/link_control.hpp"

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>

namespace egretstile::standins {

/// One connection through the proxy; runs in a thread of its own. A connection that has lost bytes
/// through a cut stays stalled and is reset when the cut ends, because the streams no longer match.
class relay {
public:
    relay(const Poco::Net::StreamSocket& client, std::shared_ptr<link_control> control);

    /// Relays until both sides have closed, a rule closes the connection or it breaks.
    void run();

private:
    /// False: the connection must be closed.
    bool wait_for_target();
    bool step();
    bool broken_by_cut() const;
    void wait_for_input();
    void close(bool reset);

    Poco::Net::StreamSocket client_;
    Poco::Net::StreamSocket target_;
    std::shared_ptr<link_control> control_;
    std::uint64_t resets_;
    std::unique_ptr<half_relay> to_target_;
    std::unique_ptr<half_relay> to_client_;
};

} // namespace egretstile::standins
