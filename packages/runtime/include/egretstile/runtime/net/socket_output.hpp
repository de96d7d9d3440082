#pragma once

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string_view>

namespace egretstile {

/// Sends as many of the bytes as the system takes without waiting, and returns their number; zero:
/// its buffer for the connection is full, and the rest has to wait until the socket is writable.
/// Throws Poco::Exception when the connection has failed. Precondition: the socket does not block.
/// Thread-safe for different sockets.
std::size_t send_available(Poco::Net::StreamSocket& socket, std::string_view bytes);

} // namespace egretstile
