#include "http/deadline_socket.hpp"

#include <Poco/Exception.h>
#include <sys/socket.h>

#include <algorithm>
#include <span>

namespace egretstile::infrastructure {

void deadline_socket::wait_for(int mode) {
    for (;;) {
        if (aborted_.load()) {
            throw Poco::TimeoutException("call aborted");
        }
        const auto remaining =
            std::chrono::duration_cast<std::chrono::microseconds>(deadline_ - clock::now());
        if (remaining.count() <= 0) {
            throw Poco::TimeoutException("call timed out");
        }
        const auto poll_time = std::min<std::chrono::microseconds>(remaining, abort_poll_interval);
        if (poll(Poco::Timespan(poll_time.count()), mode)) {
            return;
        }
    }
}

void deadline_socket::connect_to(const Poco::Net::SocketAddress& address) {
    connectNB(address);
    wait_for(SELECT_WRITE);
    const int code = socketError();
    if (code != 0) {
        error(code);
    }
    setBlocking(true);
    setNoDelay(true);
}

bool deadline_socket::unusable() {
    return poll(Poco::Timespan(0), SELECT_READ);
}

int deadline_socket::sendBytes(const void* buffer, int length, int flags) {
    std::span rest(static_cast<const char*>(buffer), static_cast<std::size_t>(length));
    while (!rest.empty()) {
        wait_for(SELECT_WRITE);
        const ssize_t sent =
            ::send(sockfd(), rest.data(), rest.size(), flags | MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            error();
        }
        rest = rest.subspan(static_cast<std::size_t>(sent));
    }
    return length;
}

int deadline_socket::receiveBytes(void* buffer, int length, int flags) {
    wait_for(SELECT_READ);
    return SocketImpl::receiveBytes(buffer, length, flags | MSG_DONTWAIT);
}

} // namespace egretstile::infrastructure
