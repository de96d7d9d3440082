#include "http/http_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <istream>
#include <limits>
#include <ostream>
#include <utility>

namespace egretstile::infrastructure {

namespace {

constexpr int status_no_content = 204;
/// Limits the memory that a response can take.
constexpr std::size_t max_response_bytes = 16U << 20U;

std::string read_body(std::istream& input, const Poco::Net::HTTPResponse& response_head) {
    if (response_head.getStatus() == status_no_content) {
        return {};
    }
    if (!response_head.hasContentLength()) {
        throw Poco::DataFormatException("response has no Content-Length header");
    }
    const auto size = static_cast<std::size_t>(response_head.getContentLength64());
    if (size > max_response_bytes) {
        throw Poco::DataFormatException("response body is longer than 16 MiB");
    }
    std::string body(size, '\0');
    input.read(body.data(), static_cast<std::streamsize>(size));
    if (static_cast<std::size_t>(input.gcount()) != size) {
        throw Poco::DataFormatException("response body is truncated");
    }
    return body;
}

} // namespace

http_client::http_client(std::string host, std::uint16_t port)
    : host_(std::move(host))
    , port_(port) {}

http_client::~http_client() {
    abort();
    std::unique_lock lock(mutex_);
    calls_ended_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

http_result http_client::call(const http_call& request, milliseconds timeout) {
    {
        const std::lock_guard lock(mutex_);
        if (aborted_) {
            return http_failure::not_sent;
        }
        ++calls_in_progress_;
    }
    http_result result = call_on_connection(request, timeout);
    const std::lock_guard lock(mutex_);
    --calls_in_progress_;
    calls_ended_.notify_all();
    return result;
}

http_result http_client::call_on_connection(const http_call& request, milliseconds timeout) {
    const auto deadline = deadline_socket::clock::now() + timeout;
    std::unique_ptr<connection> used = take_idle_connection();
    if (!used) {
        used = open(deadline);
    }
    if (!used) {
        return http_failure::not_sent;
    }
    used->socket->set_deadline(deadline);
    try {
        bool reusable = false;
        http_response response = exchange(*used, request, reusable);
        if (reusable) {
            return_to_pool(std::move(used));
        }
        return response;
    } catch (const std::exception&) {
        return http_failure::no_answer;
    }
}

std::unique_ptr<http_client::connection> http_client::take_idle_connection() {
    for (;;) {
        std::unique_ptr<connection> candidate;
        {
            const std::lock_guard lock(mutex_);
            if (idle_connections_.empty()) {
                return nullptr;
            }
            candidate = std::move(idle_connections_.back());
            idle_connections_.pop_back();
        }
        // A connection that the server has closed while it was idle would make the call fail with
        // `no_answer`.
        if (!candidate->socket->unusable()) {
            return candidate;
        }
    }
}

std::unique_ptr<http_client::connection>
http_client::open(deadline_socket::clock::time_point deadline) {
    try {
        auto* const socket = new deadline_socket(aborted_);
        const Poco::Net::StreamSocket holder(socket);
        socket->set_deadline(deadline);
        socket->connect_to(Poco::Net::SocketAddress(host_, port_));
        auto opened = std::make_unique<connection>();
        opened->socket = socket;
        // A session without a host name cannot reconnect, so Poco cannot resend a request by
        // itself.
        opened->session = std::make_unique<Poco::Net::HTTPClientSession>(holder);
        opened->session->setKeepAlive(true);
        opened->session->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS));
        return opened;
    } catch (const std::exception&) {
        return nullptr;
    }
}

void http_client::return_to_pool(std::unique_ptr<connection> used) {
    const std::lock_guard lock(mutex_);
    if (idle_connections_.size() < max_idle_connections) {
        idle_connections_.push_back(std::move(used));
    }
}

http_response http_client::exchange(connection& used, const http_call& request,
                                    bool& reusable) const {
    Poco::Net::HTTPRequest request_head(request.method, request.target,
                                        Poco::Net::HTTPMessage::HTTP_1_1);
    request_head.setHost(host_, port_);
    request_head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.body.empty()) {
        request_head.setContentType(request.content_type);
    }
    std::ostream& output = used.session->sendRequest(request_head);
    output.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    output.flush();
    if (!output) {
        throw Poco::IOException("request could not be written");
    }
    Poco::Net::HTTPResponse response_head;
    std::istream& input = used.session->receiveResponse(response_head);
    http_response response;
    response.status = response_head.getStatus();
    response.revision = response_head.get("Revision", "");
    response.body = read_body(input, response_head);
    reusable = response_head.getKeepAlive() && used.session->networkException() == nullptr;
    return response;
}

} // namespace egretstile::infrastructure
