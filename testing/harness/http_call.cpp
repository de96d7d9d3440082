#include "http_call.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <istream>
#include <ostream>

namespace egretstile::harness {

std::optional<http_reply> http_call(std::uint16_t port, const http_request& request) {
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        session.setTimeout(Poco::Timespan(std::chrono::microseconds(request.timeout).count()));
        Poco::Net::HTTPRequest head(request.method, request.target, "HTTP/1.1");
        for (const auto& [name, value] : request.headers) {
            head.set(name, value);
        }
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        session.sendRequest(head) << request.body;
        Poco::Net::HTTPResponse response;
        std::istream& input = session.receiveResponse(response);
        http_reply reply;
        reply.status = response.getStatus();
        Poco::StreamCopier::copyToString(input, reply.body);
        for (const auto& [name, value] : response) {
            reply.headers[Poco::toLower(name)] = value;
        }
        if (response.hasContentLength() &&
            static_cast<std::size_t>(response.getContentLength64()) != reply.body.size()) {
            return std::nullopt;
        }
        return reply;
    } catch (const Poco::Exception&) {
        return std::nullopt;
    }
}

} // namespace egretstile::harness
