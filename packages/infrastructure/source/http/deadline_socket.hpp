#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <atomic>
#include <chrono>

namespace egretstile::infrastructure {

/// TCP connection with one deadline for all operations of a call. Poco's own timeouts apply to each
/// receive separately, so a peer that sends single bytes could extend a call without limit.
/// Not thread-safe, except that another thread may set `aborted`, which ends the operations within
/// `abort_poll_interval`.
class deadline_socket : public Poco::Net::StreamSocketImpl {
public:
    using clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds abort_poll_interval{40};

    /// `aborted` must outlive the socket.
    explicit deadline_socket(const std::atomic<bool>& aborted)
        : aborted_(aborted) {}

    void set_deadline(clock::time_point deadline) { deadline_ = deadline; }

    /// Connects before the deadline. Throws Poco::Exception or std::system_error.
    void connect_to(const Poco::Net::SocketAddress& address);

    /// Whether the peer has closed the idle connection or sent unsolicited data.
    bool unusable();

    using Poco::Net::StreamSocketImpl::receiveBytes;
    using Poco::Net::StreamSocketImpl::sendBytes;
    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

private:
    /// Waits until the socket is ready for `mode`, one of Poco's select modes. Throws
    /// Poco::TimeoutException after the deadline or once the call is aborted.
    void wait_for(int mode);

    const std::atomic<bool>& aborted_;
    clock::time_point deadline_;
};

} // namespace egretstile::infrastructure
