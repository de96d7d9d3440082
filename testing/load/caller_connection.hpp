#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::load {

struct caller_request {
    std::string method;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
};

struct caller_reply {
    int status{0};
    /// Value of the header `Egretstile-Outcome`; empty when the header is absent.
    std::string outcome;
    std::string body;
};

/// One persistent connection to an entry. Not thread-safe.
class caller_connection {
public:
    caller_connection(std::string host, std::uint16_t port, std::chrono::milliseconds timeout);

    /// Sends the request and waits for the answer. `std::nullopt`: no complete answer within the
    /// time-out; the next call opens a new connection.
    std::optional<caller_reply> call(const caller_request& request);

private:
    caller_reply exchange(const caller_request& request);

    std::string host_;
    std::uint16_t port_;
    std::chrono::milliseconds timeout_;
    std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

} // namespace egretstile::load
