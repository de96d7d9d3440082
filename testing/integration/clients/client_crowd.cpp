#include "client_crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <system_error>
#include <utility>

namespace egretstile::platform::standins {

namespace {

constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::milliseconds quiet_time{1000};
constexpr std::chrono::seconds run_limit{60};
/// Small, so that responses that a client does not read stay with the server.
constexpr int receive_buffer_bytes = 4096;

bool is_transient(int error) {
    return error == EAGAIN || error == EINTR;
}

void close_client(int& socket) {
    ::close(std::exchange(socket, -1));
}

int connect_to(const endpoint& address) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
    // The outcome shows in the events of the socket.
    (void)::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
    return socket;
}

} // namespace

client_crowd::~client_crowd() {
    for (client& member : clients_) {
        if (member.socket >= 0) {
            close_client(member.socket);
        }
    }
}

void client_crowd::add(std::size_t clients, const endpoint& address, client_script script) {
    const std::shared_ptr<const client_script> shared =
        std::make_shared<client_script>(std::move(script));
    for (std::size_t number = 0; number < clients; ++number) {
        clients_.push_back({connect_to(address), shared, 0, 0});
    }
}

void client_crowd::run(const std::function<bool()>& observe) {
    using clock = std::chrono::steady_clock;
    const clock::time_point deadline = clock::now() + run_limit;
    clock::time_point last_change = clock::now();
    clock::time_point last_observation;
    while (open_connections() > 0 && clock::now() < deadline &&
           clock::now() < last_change + quiet_time) {
        std::vector<pollfd> polled;
        for (const client& member : clients_) {
            polled.push_back({member.socket, wanted_events(member), 0});
        }
        ::poll(polled.data(), polled.size(), static_cast<int>(poll_interval.count()));
        bool changed = false;
        for (std::size_t index = 0; index < polled.size(); ++index) {
            if (polled[index].revents != 0 && handle(clients_[index], polled[index].revents)) {
                changed = true;
            }
        }
        if (clock::now() >= last_observation + poll_interval) {
            last_observation = clock::now();
            changed = observe() || changed;
        }
        if (changed) {
            last_change = clock::now();
        }
    }
}

std::size_t client_crowd::open_connections() const {
    return static_cast<std::size_t>(std::count_if(
        clients_.begin(), clients_.end(), [](const client& member) { return member.socket >= 0; }));
}

short client_crowd::wanted_events(const client& member) const {
    int events = POLLRDHUP;
    if (!next_piece(member).empty()) {
        events |= POLLOUT;
    }
    if (member.received < member.script->read_bytes) {
        events |= POLLIN;
    }
    return static_cast<short>(events);
}

bool client_crowd::handle(client& member, int events) {
    if ((events & (POLLERR | POLLHUP | POLLRDHUP)) != 0) {
        close_client(member.socket);
        return true;
    }
    bool changed = false;
    if ((events & POLLIN) != 0) {
        std::array<char, 4096> buffer{};
        const std::size_t wanted = static_cast<std::size_t>(
            std::min<std::uint64_t>(buffer.size(), member.script->read_bytes - member.received));
        const ssize_t received = ::recv(member.socket, buffer.data(), wanted, 0);
        if (received > 0) {
            member.received += static_cast<std::uint64_t>(received);
            changed = true;
        }
    }
    return ((events & POLLOUT) != 0 && send_piece(member)) || changed;
}

bool client_crowd::send_piece(client& member) const {
    const std::string_view piece = next_piece(member);
    const ssize_t sent = ::send(member.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (sent < 0) {
        if (is_transient(errno)) {
            return false;
        }
        close_client(member.socket);
        return true;
    }
    member.sent += static_cast<std::uint64_t>(sent);
    return true;
}

std::string_view client_crowd::next_piece(const client& member) const {
    const client_script& script = *member.script;
    const std::uint64_t held_at = script.opening.size() + script.repeated_bytes;
    std::string_view part;
    if (member.sent < script.opening.size()) {
        part = std::string_view(script.opening).substr(member.sent);
    } else if (member.sent < held_at) {
        const std::uint64_t offset = (member.sent - script.opening.size()) % script.repeated.size();
        part = std::string_view(script.repeated).substr(offset).substr(0, held_at - member.sent);
    } else if (finishing_) {
        part = std::string_view(script.ending).substr(member.sent - held_at);
    }
    return part.substr(0, script.piece);
}

} // namespace egretstile::platform::standins
