#include "net/http_service.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <istream>
#include <optional>
#include <ostream>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

constexpr int accept_backlog = 256;
constexpr int request_timeout_seconds = 30;

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

/// Reads the body of a request; nothing when it is longer than `limit` bytes or does not have the
/// announced length.
std::optional<std::string> read_body(Poco::Net::HTTPServerRequest& request, std::size_t limit) {
    std::string body;
    if (!request.hasContentLength()) {
        // A request without a length has no body (RFC 9112, section 6.3); POCO would read until the
        // connection is closed.
        return body;
    }
    std::array<char, 8192> chunk{};
    std::istream& stream = request.stream();
    while (stream.good()) {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit) {
            return std::nullopt;
        }
    }
    const bool is_complete =
        static_cast<std::streamsize>(body.size()) == request.getContentLength();
    return is_complete ? std::optional(std::move(body)) : std::nullopt;
}

http_request make_request(const Poco::Net::HTTPServerRequest& source, std::string body) {
    const Poco::URI uri(source.getURI());
    http_request request;
    request.method = source.getMethod();
    request.path = uri.getPath();
    for (const auto& [name, value] : uri.getQueryParameters()) {
        request.query[name] = value;
    }
    for (const auto& [name, value] : source) {
        request.headers[lower_case(name)] = value;
    }
    request.body = std::move(body);
    return request;
}

http_answer refusal_answer(int status, const std::string& message) {
    return {status, "text/plain", {{"Egretstile-Outcome", "not-run"}}, message + "\n"};
}

/// The complete request, or an error answer when it cannot be read.
std::variant<http_request, http_answer> read_request(Poco::Net::HTTPServerRequest& source,
                                                     std::size_t limit) {
    if (source.has("Transfer-Encoding")) {
        // POCO does not distinguish a truncated chunked body from a complete one.
        return refusal_answer(411, "a body needs a Content-Length");
    }
    try {
        std::optional<std::string> body = read_body(source, limit);
        if (!body) {
            return refusal_answer(400, "bad body length");
        }
        return make_request(source, std::move(*body));
    } catch (const Poco::SyntaxException&) {
        return refusal_answer(400, "bad path or length");
    }
}

struct shared_state {
    http_service::handler function;
    std::size_t max_body_bytes{0};
    std::atomic<bool>& stopping;
    std::atomic<int>& active;
};

class request_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit request_handler(shared_state& state)
        : state_(state) {}

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
        ++state_.active;
        try {
            answer(request, response);
        } catch (const Poco::Exception&) {
            // The client closed the connection before it had received the complete answer.
        }
        --state_.active;
    }

private:
    void answer(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) {
        const std::variant<http_request, http_answer> read =
            read_request(request, state_.max_body_bytes);
        if (const http_answer* const refused = std::get_if<http_answer>(&read)) {
            // The unread rest of the body would be parsed as the next request.
            response.setKeepAlive(false);
            write_answer(response, *refused);
            return;
        }
        write_answer(response, state_.function(std::get<http_request>(read)));
    }

    void write_answer(Poco::Net::HTTPServerResponse& response, const http_answer& answer) {
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
        response.setContentType(answer.content_type);
        for (const auto& [name, value] : answer.headers) {
            response.set(name, value);
        }
        if (state_.stopping) {
            response.setKeepAlive(false);
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

    shared_state& state_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(shared_state state)
        : state_(std::move(state)) {}

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override {
        return new request_handler(state_);
    }

private:
    shared_state state_;
};

} // namespace

std::string http_request::header(const std::string& name, const std::string& fallback) const {
    const auto found = headers.find(name);
    return found == headers.end() ? fallback : found->second;
}

std::string http_request::parameter(const std::string& name, const std::string& fallback) const {
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

http_service::http_service(const endpoint& address, const limits& bounds, handler function)
    : pool_(2, bounds.max_connections + 1) {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket.listen(accept_backlog);
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setMaxThreads(bounds.max_connections);
    parameters->setMaxQueued(bounds.max_connections);
    parameters->setKeepAlive(true);
    parameters->setTimeout(Poco::Timespan(request_timeout_seconds, 0));
    parameters->setKeepAliveTimeout(Poco::Timespan(request_timeout_seconds, 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(
            shared_state{std::move(function), bounds.max_body_bytes, stopping_, active_}),
        pool_, socket, parameters);
    server_->start();
}

http_service::~http_service() {
    stop();
}

std::uint16_t http_service::port() const {
    return server_->socket().address().port();
}

void http_service::stop() {
    // Closes idle keep-alive connections, which would otherwise occupy their threads until their
    // timeout.
    server_->stopAll(false);
    pool_.joinAll();
}

} // namespace egretstile::daemon
