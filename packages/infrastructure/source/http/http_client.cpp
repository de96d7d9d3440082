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
constexpr std::size_t max_answer_bytes = 16U << 20U;

std::string read_body(std::istream& input, const Poco::Net::HTTPResponse& response) {
    if (response.getStatus() == status_no_content) {
        return {};
    }
    if (!response.hasContentLength()) {
        throw Poco::DataFormatException("answer without Content-Length");
    }
    const auto size = static_cast<std::size_t>(response.getContentLength64());
    if (size > max_answer_bytes) {
        throw Poco::DataFormatException("answer too long");
    }
    std::string body(size, '\0');
    input.read(body.data(), static_cast<std::streamsize>(size));
    if (static_cast<std::size_t>(input.gcount()) != size) {
        throw Poco::DataFormatException("answer truncated");
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
    idle_.wait(lock, [this] { return calls_in_progress_ == 0; });
}

http_result http_client::call(const http_call& request, milliseconds timeout) {
    {
        const std::lock_guard lock(mutex_);
        if (aborted_) {
            return http_failure::not_sent;
        }
        ++calls_in_progress_;
    }
    http_result result = call_counted(request, timeout);
    const std::lock_guard lock(mutex_);
    --calls_in_progress_;
    idle_.notify_all();
    return result;
}

http_result http_client::call_counted(const http_call& request, milliseconds timeout) {
    const auto deadline = deadline_socket::clock::now() + timeout;
    std::unique_ptr<connection> used = take_idle();
    if (!used) {
        used = open(deadline);
    }
    if (!used) {
        return http_failure::not_sent;
    }
    used->socket->set_deadline(deadline);
    try {
        bool reusable = false;
        http_answer answer = exchange(*used, request, reusable);
        if (reusable) {
            give_back(std::move(used));
        }
        return answer;
    } catch (const std::exception&) {
        return http_failure::no_answer;
    }
}

std::unique_ptr<http_client::connection> http_client::take_idle() {
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
        // A connection that the server closed while idle would turn the call into `no_answer`.
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
        // Without a host name the session cannot reconnect and repeat a request by itself.
        opened->session = std::make_unique<Poco::Net::HTTPClientSession>(holder);
        opened->session->setKeepAlive(true);
        opened->session->setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS));
        return opened;
    } catch (const std::exception&) {
        return nullptr;
    }
}

void http_client::give_back(std::unique_ptr<connection> used) {
    const std::lock_guard lock(mutex_);
    if (idle_connections_.size() < max_idle) {
        idle_connections_.push_back(std::move(used));
    }
}

http_answer http_client::exchange(connection& used, const http_call& request,
                                  bool& reusable) const {
    Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost(host_, port_);
    head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    if (!request.body.empty()) {
        head.setContentType(request.content_type);
    }
    std::ostream& output = used.session->sendRequest(head);
    output.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    output.flush();
    if (!output) {
        throw Poco::IOException("request not sent");
    }
    Poco::Net::HTTPResponse response;
    std::istream& input = used.session->receiveResponse(response);
    http_answer answer;
    answer.status = response.getStatus();
    answer.revision = response.get("Revision", "");
    answer.body = read_body(input, response);
    reusable = response.getKeepAlive() && used.session->networkException() == nullptr;
    return answer;
}

} // namespace egretstile::infrastructure
