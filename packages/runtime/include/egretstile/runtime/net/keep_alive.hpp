#pragma once

#include <Poco/Net/StreamSocket.h>

namespace egretstile {

/// Makes the kernel probe a connection that is idle, and close one whose peer does not answer the
/// probes, or does not acknowledge sent data, for about 10 s. Without it, a connection whose peer
/// has lost power or was cut off stays open for good. Failures are logged. Thread-safe.
void enable_keep_alive(Poco::Net::StreamSocket& socket);

} // namespace egretstile
