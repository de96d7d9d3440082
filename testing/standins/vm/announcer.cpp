#include "vm/announcer.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <ostream>
#include <sstream>
#include <utility>

namespace egretstile::standins {

namespace {

constexpr std::chrono::milliseconds announce_interval{500};
constexpr Poco::Timespan::TimeDiff call_timeout_us = 400000;

} // namespace

announcer::announcer(announced_upstream upstream)
    : upstream_(std::move(upstream))
    , thread_([this] { run(); }) {}

announcer::~announcer() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    thread_.join();
}

void announcer::set_agent(const std::string& host, std::uint16_t port) {
    const std::lock_guard lock(mutex_);
    agent_host_ = host;
    agent_port_ = port;
    ++changes_;
    changed_.notify_all();
}

void announcer::leave() {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    ++changes_;
    changed_.notify_all();
}

void announcer::run() {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const std::uint64_t sent_changes = changes_;
        if (agent_port_ != 0) {
            const std::string host = agent_host_;
            const std::uint16_t port = agent_port_;
            const std::string text = body(leaving_);
            lock.unlock();
            post(host, port, text);
            lock.lock();
        }
        changed_.wait_for(lock, announce_interval,
                          [&] { return stopping_ || changes_ != sent_changes; });
    }
}

std::string announcer::body(bool leaving) const {
    Poco::JSON::Object object;
    object.set("service", upstream_.service);
    object.set("host", upstream_.host);
    object.set("port", upstream_.port);
    object.set("slots", upstream_.slots);
    object.set("connections", upstream_.connections);
    object.set("state", leaving ? "leaving" : "ready");
    std::ostringstream output;
    object.stringify(output);
    return output.str();
}

void announcer::post(const std::string& host, std::uint16_t port, const std::string& body) const {
    try {
        Poco::Net::HTTPClientSession session(host, port);
        session.setTimeout(Poco::Timespan(call_timeout_us));
        Poco::Net::HTTPRequest request("POST", "/v1/announce", "HTTP/1.1");
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream& input = session.receiveResponse(response);
        Poco::NullOutputStream discarded;
        Poco::StreamCopier::copyStream(input, discarded);
    } catch (const std::exception&) {
        // The agent may be restarting; the next announcement follows after the interval.
        return;
    }
}

} // namespace egretstile::standins
