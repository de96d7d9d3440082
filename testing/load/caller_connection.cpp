#include "caller_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <istream>
#include <ostream>
#include <utility>

namespace egretstile::load {

caller_connection::caller_connection(std::string host, std::uint16_t port,
                                     std::chrono::milliseconds timeout)
    : host_(std::move(host))
    , port_(port)
    , timeout_(timeout) {}

std::optional<caller_reply> caller_connection::call(const caller_request& request) {
    try {
        if (!session_) {
            session_ = std::make_unique<Poco::Net::HTTPClientSession>(host_, port_);
            session_->setKeepAlive(true);
            session_->setTimeout(Poco::Timespan(std::chrono::microseconds(timeout_).count()));
        }
        return exchange(request);
    } catch (const Poco::Exception&) {
        session_.reset();
        return std::nullopt;
    }
}

caller_reply caller_connection::exchange(const caller_request& request) {
    Poco::Net::HTTPRequest head(request.method, request.target, "HTTP/1.1");
    for (const auto& [name, value] : request.headers) {
        head.set(name, value);
    }
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    session_->sendRequest(head) << request.body;
    Poco::Net::HTTPResponse response;
    std::istream& input = session_->receiveResponse(response);
    caller_reply reply;
    reply.status = response.getStatus();
    reply.outcome = response.get("Egretstile-Outcome", "");
    Poco::StreamCopier::copyToString(input, reply.body);
    if (response.hasContentLength() &&
        static_cast<std::size_t>(response.getContentLength64()) != reply.body.size()) {
        throw Poco::DataFormatException("answer truncated");
    }
    return reply;
}

} // namespace egretstile::load
