#include "agent/upstream_client.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <utility>

namespace egretstile::daemon {

namespace {

/// Shorter than the usual idle timeout of servers, so that a call does not use a connection that
/// the server is closing.
constexpr int keep_alive_timeout_seconds = 2;

Poco::Timespan to_timespan(milliseconds time) {
    return {time.count() * Poco::Timespan::MILLISECONDS};
}

std::string address_key(const endpoint& address) {
    return address.host + ":" + std::to_string(address.port);
}

/// Reads the body of a response; false when it is shorter than its Content-Length or has none.
bool read_body(std::istream& stream, const Poco::Net::HTTPResponse& response, std::string& body) {
    std::array<char, 16384> chunk{};
    while (stream.good()) {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (stream.bad()) {
        return false;
    }
    return response.hasContentLength() &&
           static_cast<std::streamsize>(body.size()) == response.getContentLength();
}

} // namespace

upstream_client::upstream_client(event_loop& loop, std::size_t threads)
    : loop_(loop)
    , threads_(threads) {}

void upstream_client::call(upstream_call request, answer_callback done) {
    threads_.submit([this, request = std::move(request), done = std::move(done)] {
        upstream_answer answer = call_blocking(request);
        loop_.post([done, answer = std::move(answer)] { done(answer); });
    });
}

upstream_answer upstream_client::call_blocking(const upstream_call& request) {
    upstream_answer answer;
    const milliseconds remaining =
        std::chrono::duration_cast<milliseconds>(request.deadline - boot_now());
    if (remaining <= milliseconds(0)) {
        answer.outcome = wire::serve_outcome::not_run;
        return answer;
    }
    session_pointer session = acquire_session(request.address);
    bool sent = false;
    try {
        session->setTimeout(to_timespan(remaining));
        Poco::Net::HTTPRequest head(Poco::Net::HTTPRequest::HTTP_POST, "/v1/serve",
                                    Poco::Net::HTTPMessage::HTTP_1_1);
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        head.setKeepAlive(true);
        head.set("Request-Id", request.request_id);
        if (!request.traceparent.empty()) {
            head.set("traceparent", request.traceparent);
        }
        std::ostream& output = session->sendRequest(head);
        sent = true;
        output << request.body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& input = session->receiveResponse(response);
        if (!read_body(input, response, answer.body)) {
            return answer;
        }
        answer.http_status = static_cast<std::uint32_t>(response.getStatus());
        answer.outcome = wire::serve_outcome::answered;
        if (response.getKeepAlive()) {
            release_session(request.address, std::move(session));
        }
    } catch (const Poco::Exception&) {
        answer.outcome = sent ? wire::serve_outcome::unknown : wire::serve_outcome::not_run;
    }
    return answer;
}

upstream_client::session_pointer upstream_client::acquire_session(const endpoint& address) {
    {
        const std::lock_guard lock(mutex_);
        std::vector<session_pointer>& idle = idle_sessions_[address_key(address)];
        if (!idle.empty()) {
            session_pointer session = std::move(idle.back());
            idle.pop_back();
            return session;
        }
    }
    session_pointer session =
        std::make_unique<Poco::Net::HTTPClientSession>(address.host, address.port);
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(Poco::Timespan(keep_alive_timeout_seconds, 0));
    return session;
}

void upstream_client::release_session(const endpoint& address, session_pointer session) {
    const std::lock_guard lock(mutex_);
    idle_sessions_[address_key(address)].push_back(std::move(session));
}

} // namespace egretstile::daemon
