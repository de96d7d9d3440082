#include <egretstile/runtime/net/socket_output.hpp>

#include <Poco/Exception.h>

#include <algorithm>
#include <cerrno>

namespace egretstile {

std::size_t send_available(Poco::Net::StreamSocket& socket, std::string_view bytes) {
    try {
        const int sent = socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        return static_cast<std::size_t>(std::max(sent, 0));
    } catch (const Poco::Exception& error) {
        // POCO 1.11 reports the full buffer of a socket that does not block as an error.
        if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) {
            return 0;
        }
        throw;
    }
}

} // namespace egretstile
