#include "http/http_server_connection.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/http/http_server.hpp>
#include <egretstile/runtime/net/keep_alive.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

namespace egretstile {

namespace {

constexpr int listen_backlog = 1024;
constexpr milliseconds longest_check_interval{250};
constexpr milliseconds log_interval{10000};
/// Time without accepting after the process had no connection or descriptor to spare.
constexpr milliseconds accept_pause{50};
/// Bounds one round of the event loop; further connections are accepted in the next one.
constexpr int max_accepts_per_round = 16;
constexpr std::size_t min_head_bytes = 1024;
constexpr std::size_t max_head_bytes = std::size_t{1024} * 1024;

bool is_out_of_descriptors(const Poco::Exception& error) {
    return error.code() == EMFILE || error.code() == ENFILE || error.code() == ENOBUFS ||
           error.code() == ENOMEM;
}

} // namespace

http_server::http_server(event_loop& loop, const endpoint& address, const limits& bounds,
                         handler function, head_check check, refusal_observer observer)
    : loop_(loop)
    , limits_(bounds)
    , handler_(std::move(function))
    , head_check_(std::move(check))
    , refusal_observer_(std::move(observer))
    , memory_(bounds.memory == nullptr ? unbounded_ : *bounds.memory) {
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    if (limits_.socket_buffer_bytes > 0) {
        // Accepted sockets inherit the sizes.
        socket_.setReceiveBufferSize(limits_.socket_buffer_bytes);
        socket_.setSendBufferSize(limits_.socket_buffer_bytes);
    }
    socket_.listen(listen_backlog);
    socket_.setBlocking(false);
    loop_.watch(socket_, Poco::Net::PollSet::POLL_READ,
                [this](int /*mode*/) { accept_connections(); });
    loop_.call_every(std::min(longest_check_interval, limits_.idle_limit / 2),
                     [this, alive = std::weak_ptr<int>(alive_)] {
                         if (!alive.expired()) {
                             close_overdue_connections();
                             log_refusals();
                         }
                     });
}

http_server::~http_server() {
    loop_.unwatch(socket_);
    for (const std::shared_ptr<http_server_connection>& connection :
         std::exchange(connections_, {})) {
        connection->close();
    }
}

void http_server::set_request_bounds(const request_bounds& bounds) {
    limits_.max_head_bytes = std::clamp(bounds.max_head_bytes, min_head_bytes, max_head_bytes);
    limits_.header_timeout = bounds.header_timeout;
    limits_.idle_floor = std::min(bounds.idle_floor, limits_.idle_limit);
}

std::size_t http_server::active_requests() const {
    const auto unsent =
        std::count_if(connections_.begin(), connections_.end(),
                      [](const std::shared_ptr<http_server_connection>& connection) {
                          return connection->facts().phase == connection_phase::sending;
                      });
    return active_requests_ + static_cast<std::size_t>(unsent);
}

void http_server::close_overdue_connections() {
    const boot_time now = boot_now();
    std::vector<std::pair<std::shared_ptr<http_server_connection>, http_refusal>> late;
    for (const std::shared_ptr<http_server_connection>& connection : connections_) {
        connection->measure_unread_input();
        if (const std::optional<http_refusal> reason =
                overdue(connection->facts(), connection->time_limits(), is_short(), now)) {
            late.emplace_back(connection, *reason);
        }
    }
    for (const auto& [connection, reason] : late) {
        connection->end(reason);
    }
}

bool http_server::is_short() const {
    return memory_.is_short() || connections_.size() > limits_.max_connections / 4 * 3;
}

bool http_server::free_connection() {
    const boot_time now = boot_now();
    std::shared_ptr<http_server_connection> chosen;
    double highest{0};
    for (const std::shared_ptr<http_server_connection>& connection : connections_) {
        const std::optional<double> rank =
            connection_rank(connection->facts(), connection->time_limits(), now);
        if (rank && (chosen == nullptr || *rank > highest)) {
            chosen = connection;
            highest = *rank;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    count_refusal(http_refusal::no_connection);
    chosen->close();
    return true;
}

bool http_server::reserve_memory(std::size_t bytes, const http_server_connection& requester) {
    const boot_time now = boot_now();
    while (!memory_.can_hold(bytes)) {
        std::shared_ptr<http_server_connection> chosen;
        double highest{0};
        for (const std::shared_ptr<http_server_connection>& connection : connections_) {
            const std::optional<double> rank = memory_rank(connection->facts(), now);
            if (rank && (chosen == nullptr || *rank > highest)) {
                chosen = connection;
                highest = *rank;
            }
        }
        if (chosen == nullptr || chosen.get() == &requester) {
            return false;
        }
        chosen->end(http_refusal::no_memory);
    }
    return true;
}

void http_server::accept_connections() {
    for (int accepted = 0; accepted < max_accepts_per_round && accepting_; ++accepted) {
        if (!accept_connection()) {
            return;
        }
    }
}

bool http_server::accept_connection() {
    if (connections_.size() >= limits_.max_connections && !free_connection()) {
        count_refusal(http_refusal::no_connection);
        pause_accepting();
        return false;
    }
    try {
        Poco::Net::StreamSocket accepted = socket_.acceptConnection();
        accepted.setBlocking(false);
        accepted.setNoDelay(true);
        enable_keep_alive(accepted);
        const std::shared_ptr<http_server_connection> connection =
            std::make_shared<http_server_connection>(*this, accepted);
        connections_.insert(connection);
        connection->start();
        return true;
    } catch (const Poco::Exception& error) {
        if (is_out_of_descriptors(error)) {
            count_refusal(http_refusal::no_descriptor);
            free_connection();
            pause_accepting();
        }
        // Otherwise nothing waits any more, or the client closed its connection before it was
        // accepted.
        return false;
    }
}

void http_server::pause_accepting() {
    if (!std::exchange(accepting_, false)) {
        return;
    }
    loop_.unwatch(socket_);
    loop_.call_at(boot_now() + accept_pause, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) {
            accepting_ = true;
            loop_.watch(socket_, Poco::Net::PollSet::POLL_READ,
                        [this](int /*mode*/) { accept_connections(); });
        }
    });
}

void http_server::count_refusal(http_refusal reason) {
    ++unlogged_refusals_.at(static_cast<std::size_t>(reason));
    if (refusal_observer_) {
        refusal_observer_(reason);
    }
}

void http_server::log_refusals() {
    const boot_time now = boot_now();
    if (now < logged_at_ + log_interval) {
        return;
    }
    std::string counts;
    for (const enum_name<http_refusal>& row : http_refusal_names) {
        const std::uint64_t count =
            std::exchange(unlogged_refusals_.at(static_cast<std::size_t>(row.value)), 0);
        if (count > 0) {
            counts += ' ' + std::string(row.name) + '=' + std::to_string(count);
        }
    }
    if (!counts.empty()) {
        logged_at_ = now;
        write_log(log_part::net, log_level::info, "Refused requests or closed connections.",
                  "address=" + limits_.name + counts +
                      " connections=" + std::to_string(connections_.size()) +
                      " buffer_bytes=" + std::to_string(memory_.used()));
    }
}

} // namespace egretstile
