// A small HTTP/1.1 server and client for the stand-ins: blocking sockets, one thread for each
// connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct response {
    int status{200};
    std::string body{"{}"};
};

inline sockaddr_in address_of(const std::string& host, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline std::string decode_url(const std::string& text) {
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// Reads one message from the socket into `head` and `body`; `buffer` keeps what follows it.
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body,
                         int timeout_ms) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    std::optional<std::size_t> total;
    std::size_t head_size = 0;
    while (true) {
        if (!total) {
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                head_size = end + 4;
                const std::string text = lower(buffer.substr(0, head_size));
                const std::size_t at = text.find("content-length:");
                total =
                    head_size + (at == std::string::npos ? 0 : std::stoul(text.substr(at + 15)));
            }
        }
        if (total && buffer.size() >= *total) {
            head = buffer.substr(0, head_size);
            body = buffer.substr(head_size, *total - head_size);
            buffer.erase(0, *total);
            return true;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        pollfd ready{socket, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
            return false;
        }
        std::array<char, 16384> chunk{};
        const ssize_t received = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (received <= 0) {
            return false;
        }
        buffer.append(chunk.data(), static_cast<std::size_t>(received));
    }
}

inline request parse_request(const std::string& head, const std::string& body) {
    request parsed;
    parsed.body = body;
    const std::size_t line = head.find("\r\n");
    const std::size_t first = head.find(' ');
    const std::size_t second = head.find(' ', first + 1);
    parsed.method = head.substr(0, first);
    std::string target = head.substr(first + 1, second - first - 1);
    const std::size_t question = target.find('?');
    if (question != std::string::npos) {
        std::string rest = target.substr(question + 1) + "&";
        for (std::size_t at = 0, end = 0; (end = rest.find('&', at)) != std::string::npos;
             at = end + 1) {
            const std::string pair = rest.substr(at, end - at);
            const std::size_t equals = pair.find('=');
            if (equals != std::string::npos) {
                parsed.query[pair.substr(0, equals)] = decode_url(pair.substr(equals + 1));
            }
        }
        target.resize(question);
    }
    parsed.path = target;
    for (std::size_t at = line + 2, end = 0;
         (end = head.find("\r\n", at)) != std::string::npos && end > at; at = end + 2) {
        const std::string row = head.substr(at, end - at);
        const std::size_t colon = row.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < row.size() && row[value] == ' ') {
                ++value;
            }
            parsed.headers[lower(row.substr(0, colon))] = row.substr(value);
        }
    }
    return parsed;
}

/// Calls `handle` for each request. Without a response the connection stays open and silent.
class server {
public:
    using handler = std::function<std::optional<response>(const request&)>;

    server(const std::string& host, int port, handler handle)
        : state_(std::make_shared<shared_state>())
        , socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        state_->handle = std::move(handle);
        const int on = 1;
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = address_of(host, port);
        if (::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(socket_, 256) != 0) {
            ::close(socket_);
            throw std::runtime_error("cannot listen at " + host + ":" + std::to_string(port));
        }
        acceptor_ = std::thread([state = state_, socket = socket_] { accept_all(state, socket); });
    }

    server(const server&) = delete;
    server(server&&) = delete;
    server& operator=(const server&) = delete;
    server& operator=(server&&) = delete;

    /// Closes the address and all connections, and waits for the handlers that still run.
    ~server() {
        {
            const std::lock_guard<std::mutex> lock(state_->mutex);
            state_->stopped = true;
            for (const int connection : state_->connections) {
                ::shutdown(connection, SHUT_RDWR);
            }
        }
        ::shutdown(socket_, SHUT_RDWR);
        acceptor_.join();
        ::close(socket_);
        std::unique_lock<std::mutex> lock(state_->mutex);
        state_->closed.wait(lock, [this] { return state_->connections.empty(); });
    }

private:
    struct shared_state {
        std::mutex mutex;
        bool stopped{false};
        std::set<int> connections;
        std::condition_variable closed;
        handler handle;
    };

    static void accept_all(const std::shared_ptr<shared_state>& state, int listener) {
        while (true) {
            const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard<std::mutex> lock(state->mutex);
            if (state->stopped || (connection < 0 && errno != EINTR && errno != ECONNABORTED)) {
                if (connection >= 0) {
                    ::close(connection);
                }
                return;
            }
            if (connection < 0) {
                continue;
            }
            state->connections.insert(connection);
            std::thread([state, connection] { serve(state, connection); }).detach();
        }
    }

    static void serve(const std::shared_ptr<shared_state>& state, int connection) {
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::string buffer;
        std::string head;
        std::string body;
        while (read_message(connection, buffer, head, body, 3'600'000)) {
            const std::optional<response> answer = state->handle(parse_request(head, body));
            if (!answer) {
                char byte = 0;
                while (::recv(connection, &byte, 1, 0) > 0) {
                }
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(answer->status) +
                                     " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(answer->body.size()) +
                                     "\r\nConnection: keep-alive\r\n\r\n" + answer->body;
            if (::send(connection, text.data(), text.size(), MSG_NOSIGNAL) !=
                static_cast<ssize_t>(text.size())) {
                break;
            }
        }
        const std::lock_guard<std::mutex> lock(state->mutex);
        state->connections.erase(connection);
        ::close(connection);
        state->closed.notify_all();
    }

    std::shared_ptr<shared_state> state_;
    int socket_{-1};
    std::thread acceptor_;
};

/// One call on a connection of its own; nothing when there is no answer within the time.
inline std::optional<response> call(const std::string& host, int port, const std::string& method,
                                    const std::string& path, const std::string& host_header,
                                    const std::string& body, int timeout_ms = 3000) {
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(host, port);
    std::optional<response> answer;
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
        const std::string text =
            method + " " + path + " HTTP/1.1\r\nHost: " + host_header +
            "\r\nContent-Type: application/json\r\nEgretstile-Deadline-Ms: " +
            std::to_string(timeout_ms) +
            "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
        std::string buffer;
        std::string head;
        std::string answered;
        if (::send(connection, text.data(), text.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(text.size()) &&
            read_message(connection, buffer, head, answered, timeout_ms)) {
            answer = response{std::stoi(head.substr(9, 3)), answered};
        }
    }
    ::close(connection);
    return answer;
}

} // namespace review
