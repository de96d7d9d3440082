// Small stand-ins of the platform for the scripts of the review: the metadata store, runners with
// their check-ins, an HTTP client, and the processes of the system. All on 127.0.0.1. They follow
// PROTOCOL.md; where the page is silent they behave like a sound store or runner.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = rapidjson::Value;

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(ms, 0)));
}

/// Writes record.txt with the time since the start of the program.
class recorder {
public:
    explicit recorder(const std::string& file)
        : file_(file)
        , begin_(steady_ms()) {}

    std::int64_t now() const { return steady_ms() - begin_; }

    void line(const std::string& text) {
        const std::lock_guard lock(mutex_);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%9.3f s  ", static_cast<double>(now()) / 1000.0);
        file_ << stamp << text << std::endl;
    }

private:
    std::ofstream file_;
    std::int64_t begin_;
    std::mutex mutex_;
};

struct request {
    std::string method, path;
    std::map<std::string, std::string> query, headers;
    std::string body;
};

struct response {
    int status{200};
    std::string body{"{}"};
    /// Closes the connection without an answer.
    bool drop{false};
};

inline std::string json_text(const std::string& text) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

inline std::string text_of(const json& object, const char* name) {
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsString()
               ? std::string(found->value.GetString(), found->value.GetStringLength())
               : std::string();
}

inline std::int64_t number_of(const json& object, const char* name) {
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsInt64() ? found->value.GetInt64() : 0;
}

inline std::string decode_url(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// Reads one HTTP message from the socket; `buffer` keeps what follows it.
inline bool read_message(int socket, std::string& buffer, std::string& head, std::string& body) {
    char chunk[65536];
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t got = ::recv(socket, chunk, sizeof(chunk), 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
    head = buffer.substr(0, end + 2);
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    std::size_t length = 0;
    const std::size_t at = lower.find("\r\ncontent-length:");
    if (at != std::string::npos) {
        length = static_cast<std::size_t>(std::stoul(lower.substr(at + 17)));
    }
    while (buffer.size() < end + 4 + length) {
        const ssize_t got = ::recv(socket, chunk, sizeof(chunk), 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool write_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t wrote =
            ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (wrote <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(wrote);
    }
    return true;
}

/// Listens on a free port, or on `port` when it is given; one thread for each connection.
class http_listener {
public:
    using handler = std::function<response(const request&)>;

    http_listener(handler function, int port = 0)
        : handler_(std::move(function)) {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(socket_, 256) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        socklen_t size = sizeof(address);
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }

    int port() const { return port_; }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// While set, each new connection is reset, and each open one when a request arrives on it.
    void reset_calls(bool resets) { resets_ = resets; }

    /// Closes the listening socket and all connections, as the end of a process does.
    void close_all() {
        stopped_ = true;
        ::shutdown(socket_, SHUT_RDWR);
        ::close(socket_);
        const std::lock_guard lock(mutex_);
        for (const int connection : connections_) {
            reset(connection);
            ::shutdown(connection, SHUT_RDWR);
        }
    }

private:
    void accept_all() {
        while (!stopped_) {
            const int connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                if (stopped_) {
                    return;
                }
                continue;
            }
            const int one = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            if (resets_) {
                reset(connection);
                ::close(connection);
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                connections_.insert(connection);
            }
            std::thread([this, connection] { serve(connection); }).detach();
        }
    }

    /// Makes the following close send a reset.
    static void reset(int connection) {
        const linger hard{1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }

    void serve(int connection) {
        std::string buffer, head, body;
        while (!stopped_ && read_message(connection, buffer, head, body)) {
            request call;
            std::istringstream lines(head);
            std::string target, line;
            lines >> call.method >> target;
            std::getline(lines, line);
            while (std::getline(lines, line)) {
                const std::size_t colon = line.find(':');
                if (colon == std::string::npos) {
                    continue;
                }
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                    value.pop_back();
                }
                call.headers[name] = value;
            }
            const std::size_t question = target.find('?');
            call.path = target.substr(0, question);
            if (question != std::string::npos) {
                std::istringstream pairs(target.substr(question + 1));
                std::string pair;
                while (std::getline(pairs, pair, '&')) {
                    const std::size_t equals = pair.find('=');
                    call.query[pair.substr(0, equals)] =
                        equals == std::string::npos ? "" : decode_url(pair.substr(equals + 1));
                }
            }
            call.body = body;
            if (resets_) {
                reset(connection);
                break;
            }
            const response answer = handler_(call);
            if (answer.drop || stopped_) {
                break;
            }
            if (!write_all(connection, "HTTP/1.1 " + std::to_string(answer.status) +
                                           " X\r\nContent-Type: application/json\r\n"
                                           "Content-Length: " +
                                           std::to_string(answer.body.size()) + "\r\n\r\n" +
                                           answer.body)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        connections_.erase(connection);
        ::close(connection);
    }

    handler handler_;
    int socket_{-1};
    int port_{0};
    std::atomic<bool> stopped_{false};
    std::atomic<bool> resets_{false};
    std::mutex mutex_;
    std::set<int> connections_;
};

struct answer {
    /// 0: no answer.
    int status{0};
    std::string body;
};

/// One call on a connection of its own.
inline answer http_call(int port, const std::string& method, const std::string& target,
                        const std::string& host, const std::string& body, int timeout_ms,
                        const std::string& more_headers = "") {
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    answer result;
    std::string buffer, head;
    const std::string text =
        method + " " + target + " HTTP/1.1\r\nHost: " + host +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n" + more_headers + "\r\n" + body;
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 &&
        write_all(connection, text) && read_message(connection, buffer, head, result.body)) {
        result.status = std::atoi(head.c_str() + head.find(' '));
    }
    ::close(connection);
    return result;
}

/// A port that is free now. All ports that were given are held until `release_ports`.
inline int free_port() {
    static std::set<int> given;
    while (true) {
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        ::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
        ::close(probe);
        if (given.insert(ntohs(address.sin_port)).second) {
            return ntohs(address.sin_port);
        }
    }
}

inline const std::string base64_letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string base64_encode(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::uint32_t a = static_cast<unsigned char>(bytes[i]);
        const std::uint32_t b = i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) : 0;
        const std::uint32_t c = i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        const std::uint32_t all = a << 16 | b << 8 | c;
        out += base64_letters[all >> 18 & 63];
        out += base64_letters[all >> 12 & 63];
        out += i + 1 < bytes.size() ? base64_letters[all >> 6 & 63] : '=';
        out += i + 2 < bytes.size() ? base64_letters[all & 63] : '=';
    }
    return out;
}

/// The platform's metadata store. Each machine calls it at a port of its own, so that the store can
/// turn single machines away.
class store {
public:
    struct item {
        std::string value_base64;
        std::int64_t revision{0}, created{0}, lease{0};
    };

    store() {
        std::thread([this] {
            while (true) {
                sleep_ms(10);
                const std::lock_guard lock(mutex_);
                for (auto row = leases_.begin(); row != leases_.end();) {
                    const auto lease = row++;
                    if (lease->second.first <= steady_ms()) {
                        end_lease(lease->first);
                    }
                }
            }
        }).detach();
    }

    /// Opens the port of a machine.
    int open(const std::string& machine) {
        listeners_.push_back(std::make_unique<http_listener>(
            [this, machine](const request& call) { return handle(machine, call); }));
        return listeners_.back()->port();
    }

    /// Machines whose calls are answered 503, and whose waiting watches are cut, or which get no
    /// response (`silent`). A call without a response gets none later either.
    void turn_away(const std::set<std::string>& machines, bool silent = false) {
        const std::lock_guard lock(mutex_);
        turned_away_ = machines;
        silent_ = silent;
        changed_.notify_all();
    }

    /// A write of the operator; returns when it is confirmed.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        write(key, base64_encode(value), 0);
        changed_.notify_all();
    }

    bool has(const std::string& key) {
        const std::lock_guard lock(mutex_);
        return items_.count(key) != 0;
    }

private:
    struct event {
        std::string key;
        std::int64_t revision;
        std::optional<item> now;
    };

    bool is_turned_away(const std::string& machine) const {
        return turned_away_.count(machine) != 0;
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease) {
        item& row = items_[key];
        row.value_base64 = value;
        row.revision = revision_;
        row.created = row.created == 0 ? revision_ : row.created;
        row.lease = lease;
        events_.push_back({key, revision_, row});
        if (lease != 0) {
            leases_[lease].second.insert(key);
        }
    }

    void remove(const std::string& key) {
        if (items_.erase(key) != 0) {
            events_.push_back({key, revision_, std::nullopt});
        }
    }

    void end_lease(std::int64_t id) {
        const auto found = leases_.find(id);
        if (found == leases_.end()) {
            return;
        }
        ++revision_;
        for (const std::string& key : found->second.second) {
            const auto row = items_.find(key);
            if (row != items_.end() && row->second.lease == id) {
                remove(key);
            }
        }
        leases_.erase(found);
        changed_.notify_all();
    }

    static std::string text(const std::string& key, const item& row) {
        return "{\"key\":" + json_text(key) + ",\"value\":\"" + row.value_base64 +
               "\",\"revision\":" + std::to_string(row.revision) +
               ",\"created\":" + std::to_string(row.created) +
               ",\"lease\":" + std::to_string(row.lease) + "}";
    }

    static bool begins(const std::string& key, const std::string& prefix) {
        return key.compare(0, prefix.size(), prefix) == 0;
    }

    response handle(const std::string& machine, const request& call) {
        sleep_ms(4);
        std::unique_lock lock(mutex_);
        if (is_turned_away(machine)) {
            return refusal(lock);
        }
        if (call.path == "/v1/kv-key") {
            const auto found = items_.find(call.query.at("key"));
            return found == items_.end() ? response{404, "{}"}
                                         : response{200, text(found->first, found->second)};
        }
        if (call.path == "/v1/kv-range") {
            return range(call);
        }
        if (call.path == "/v1/kv-watch") {
            return watch(machine, call, lock);
        }
        if (call.path == "/v1/kv-txn") {
            return transact(call);
        }
        if (call.path == "/v1/kv-lease") {
            rapidjson::Document body;
            body.Parse(call.body.c_str());
            const std::int64_t ttl =
                std::clamp<std::int64_t>(number_of(body, "ttl_ms"), 1000, 600000);
            const std::int64_t id = ++last_lease_;
            leases_[id].first = steady_ms() + ttl;
            ttl_[id] = ttl;
            return {200, "{\"lease\":" + std::to_string(id) + ",\"ttl_ms\":" + std::to_string(ttl) +
                             "}"};
        }
        const std::string keep = "/v1/kv-keep/", end = "/v1/kv-lease-end/";
        if (begins(call.path, keep)) {
            const auto found = leases_.find(std::stoll(call.path.substr(keep.size())));
            if (found == leases_.end()) {
                return {404, "{}"};
            }
            found->second.first = steady_ms() + ttl_[found->first];
            return {200, "{}"};
        }
        if (begins(call.path, end)) {
            const std::int64_t id = std::stoll(call.path.substr(end.size()));
            if (leases_.count(id) == 0) {
                return {404, "{}"};
            }
            end_lease(id);
            return {200, "{}"};
        }
        return {404, "{}"};
    }

    response refusal(std::unique_lock<std::mutex>& lock) {
        if (!silent_) {
            return {503, "{}"};
        }
        lock.unlock();
        sleep_ms(12000); // The caller has closed the channel long before.
        response none;
        none.drop = true;
        return none;
    }

    response range(const request& call) const {
        const std::string& prefix = call.query.at("prefix");
        const auto after = call.query.find("after");
        auto row = after == call.query.end() ? items_.lower_bound(prefix)
                                             : items_.upper_bound(after->second);
        std::string body = "{\"items\":[";
        int count = 0;
        for (; row != items_.end() && begins(row->first, prefix); ++row) {
            if (count == 500 || body.size() > 1000000) {
                break;
            }
            body += (count++ == 0 ? "" : ",") + text(row->first, row->second);
        }
        const bool more = row != items_.end() && begins(row->first, prefix);
        return {200, body + "],\"at\":" + std::to_string(revision_) +
                         ",\"has_more\":" + (more ? "true" : "false") + "}"};
    }

    response watch(const std::string& machine, const request& call,
                   std::unique_lock<std::mutex>& lock) {
        const std::string prefix = call.query.at("prefix");
        const std::int64_t after = std::stoll(call.query.at("after"));
        const std::int64_t until = steady_ms() + std::stoll(call.query.at("wait_ms"));
        while (true) {
            if (is_turned_away(machine)) {
                return refusal(lock);
            }
            std::string events;
            for (auto row = events_.rbegin(); row != events_.rend() && row->revision > after;
                 ++row) {
                if (!begins(row->key, prefix)) {
                    continue;
                }
                const std::string one = row->now
                                            ? text(row->key, *row->now)
                                            : "{\"key\":" + json_text(row->key) +
                                                  ",\"revision\":" + std::to_string(row->revision) +
                                                  ",\"deleted\":true}";
                events = events.empty() ? one : one + "," + events;
            }
            if (!events.empty() || steady_ms() >= until) {
                return {200,
                        "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}"};
            }
            changed_.wait_for(lock, std::chrono::milliseconds(until - steady_ms()));
        }
    }

    response transact(const request& call) {
        rapidjson::Document body;
        body.Parse(call.body.c_str());
        bool holds = true;
        std::string present;
        for (const json& row : body["expected"].GetArray()) {
            const std::string key = text_of(row, "key");
            const auto found = items_.find(key);
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
            holds = holds && revision == number_of(row, "revision");
            if (found != items_.end()) {
                present += (present.empty() ? "" : ",") + text(key, found->second);
            } else {
                present += std::string(present.empty() ? "" : ",") + "{\"key\":" + json_text(key) +
                           ",\"revision\":0}";
            }
        }
        if (!holds) {
            return {412, "{\"items\":[" + present + "]}"};
        }
        for (const json& row : body["write"].GetArray()) {
            const std::int64_t lease = number_of(row, "lease");
            if (lease != 0 && leases_.count(lease) == 0) {
                return {404, "{}"};
            }
            if (text_of(row, "value").size() > 1048576 * 4 / 3 + 4) {
                return {400, "{}"};
            }
        }
        ++revision_;
        for (const json& row : body["write"].GetArray()) {
            write(text_of(row, "key"), text_of(row, "value"), number_of(row, "lease"));
        }
        for (const json& key : body["remove"].GetArray()) {
            remove(key.GetString());
        }
        changed_.notify_all();
        return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_{1};
    std::int64_t last_lease_{0};
    std::map<std::string, item> items_;
    std::deque<event> events_;
    std::map<std::int64_t, std::pair<std::int64_t, std::set<std::string>>> leases_;
    std::map<std::int64_t, std::int64_t> ttl_;
    std::set<std::string> turned_away_;
    bool silent_{false};
    std::vector<std::unique_ptr<http_listener>> listeners_;
};

/// What a runner has begun or ended.
struct run_event {
    std::int64_t at_ms;
    std::string runner, task;
    std::int64_t attempt;
    /// "start", or how the run ended.
    std::string what;
    bool acked{false};
};

/// All runs of all runners, in order.
class history {
public:
    explicit history(recorder& record)
        : record_(record) {}

    void add(const std::string& runner, const std::string& task, std::int64_t attempt,
             const std::string& what) {
        const std::lock_guard lock(mutex_);
        events_.push_back({record_.now(), runner, task, attempt, what});
        record_.line("runner " + runner + ": " + what + " " + task + " attempt " +
                     std::to_string(attempt));
    }

    void acknowledged(const std::string& runner, const std::string& task, std::int64_t attempt) {
        const std::lock_guard lock(mutex_);
        for (run_event& event : events_) {
            if (event.what != "start" && event.runner == runner && event.task == task &&
                event.attempt == attempt) {
                event.acked = true;
            }
        }
    }

    std::vector<run_event> events() const {
        const std::lock_guard lock(mutex_);
        return events_;
    }

private:
    recorder& record_;
    mutable std::mutex mutex_;
    std::vector<run_event> events_;
};

struct runner_shape {
    std::string name, service, zone, rack;
    std::int64_t cpu{64000}, mem_mb{256000};
};

/// A runner that starts what it is told (`enforce_capacity` false).
class runner {
public:
    /// How long a task takes, in milliseconds; 0: until it is stopped.
    using duration_of = std::function<std::int64_t(const std::string& task)>;

    runner(const runner_shape& shape, int check_in_port, history& runs, duration_of duration)
        : shape_(shape)
        , check_in_port_(check_in_port)
        , runs_(runs)
        , duration_(std::move(duration))
        , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count())
        , started_(steady_ms())
        , listener_([this](const request& call) { return handle(call); }) {
        std::thread([this] { work(); }).detach();
    }

    int port() const { return listener_.port(); }

    const std::string& id() const { return shape_.name; }

    /// Begins the check-ins.
    void begin() {
        std::thread([this] {
            while (!removed_) {
                const answer got =
                    http_call(check_in_port_, "POST", "/v1/instances/" + shape_.name + "/heartbeat",
                              "agent", check_in(), 1000);
                sleep_ms(got.status == 200 ? 1500 : 200);
            }
        }).detach();
    }

    /// While set, calls to the runner are reset; its check-ins and its tasks go on.
    void reset_calls(bool resets) { listener_.reset_calls(resets); }

    /// Ends the runner for good, as when its machine is removed.
    void remove() {
        {
            const std::lock_guard lock(mutex_);
            removed_ = true;
            while (!active_.empty()) {
                finish(active_.begin()->first, "gone");
            }
        }
        listener_.close_all();
    }

    std::size_t active() const {
        const std::lock_guard lock(mutex_);
        return active_.size();
    }

private:
    struct run {
        std::int64_t attempt{0};
        std::int64_t began_ms{0};
        std::int64_t length_ms{0};
        std::int64_t stop_at_ms{0};
    };

    struct end {
        std::int64_t number;
        std::string task;
        std::int64_t attempt;
        std::string how;
    };

    std::int64_t clock() const { return steady_ms() - started_; }

    std::string check_in() {
        const std::lock_guard lock(mutex_);
        return "{\"service\":" + json_text(shape_.service) + ",\"address\":\"" +
               listener_.address() + "\",\"zone\":" + json_text(shape_.zone) +
               ",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
               "\"capacity\":{\"cpu\":" +
               std::to_string(shape_.cpu) + ",\"mem_mb\":" + std::to_string(shape_.mem_mb) +
               ",\"gpu\":0},\"labels\":[\"a\"," + json_text(shape_.rack) +
               "],\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(born_) +
               ",\"sequence\":" + std::to_string(++sequence_) + "}";
    }

    std::string with_clock(const std::string& more = "") const {
        return "{\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(born_) +
               more + "}";
    }

    response refuse(const char* reason) const {
        return {409, with_clock(std::string(",\"reason\":\"") + reason + "\"")};
    }

    void finish(const std::string& task, const std::string& how) {
        const auto found = active_.find(task);
        runs_.add(shape_.name, task, found->second.attempt, how);
        ended_.push_back({++last_end_, task, found->second.attempt, how});
        closed_[task] = std::max(closed_[task], found->second.attempt);
        active_.erase(found);
        changed_.notify_all();
    }

    void work() {
        while (true) {
            sleep_ms(3);
            const std::lock_guard lock(mutex_);
            const std::int64_t now = clock();
            std::vector<std::pair<std::string, std::string>> ends;
            for (const auto& [task, running] : active_) {
                if (now >= lease_until_) {
                    ends.emplace_back(task, "lapsed");
                } else if (running.length_ms > 0 && now >= running.began_ms + running.length_ms) {
                    ends.emplace_back(task, "done");
                } else if (running.stop_at_ms != 0 && now >= running.stop_at_ms) {
                    ends.emplace_back(task, "stopped");
                }
            }
            for (const auto& [task, how] : ends) {
                finish(task, how);
            }
        }
    }

    void extend(std::int64_t deadline) {
        lease_until_ = std::max(lease_until_, std::min(deadline, clock() + 10000));
    }

    response handle(const request& call) {
        rapidjson::Document body;
        body.Parse(call.body.c_str());
        if (body.HasParseError() || !body.IsObject()) {
            return {400, "{}"};
        }
        std::unique_lock lock(mutex_);
        const auto expected = call.headers.find("egretstile-expect-instance");
        if (expected != call.headers.end() && expected->second != shape_.name) {
            return {421, with_clock()};
        }
        const std::int64_t token = number_of(body, "fencing_token");
        if (token < highest_token_) {
            return refuse("fence");
        }
        highest_token_ = token;
        const std::string task = text_of(body, "task");
        const std::int64_t attempt = number_of(body, "attempt");
        if (call.path == "/v1/run-start") {
            const std::int64_t deadline = number_of(body, "deadline_ms");
            if (deadline <= clock()) {
                return refuse("late");
            }
            extend(deadline);
            const auto found = active_.find(task);
            if (found != active_.end() && found->second.attempt == attempt) {
                return {200, with_clock()};
            }
            if (found != active_.end() || attempt <= closed_[task]) {
                return refuse("old");
            }
            active_[task] = {attempt, clock(), duration_(task), 0};
            runs_.add(shape_.name, task, attempt, "start");
            return {200, with_clock()};
        }
        if (call.path == "/v1/run-stop") {
            closed_[task] = std::max(closed_[task], attempt);
            const auto found = active_.find(task);
            if (found != active_.end() && found->second.attempt <= attempt &&
                found->second.stop_at_ms == 0) {
                found->second.stop_at_ms = clock() + 50;
            }
            return {200, with_clock()};
        }
        if (call.path == "/v1/pace") {
            return {200, with_clock()};
        }
        if (call.path == "/v1/hold") {
            return hold(body, lock);
        }
        return {404, with_clock()};
    }

    response hold(const json& body, std::unique_lock<std::mutex>& lock) {
        if (body.HasMember("deadline_ms")) {
            extend(number_of(body, "deadline_ms"));
        }
        const std::int64_t acked = number_of(body, "acked_through");
        while (!ended_.empty() && ended_.front().number <= acked) {
            runs_.acknowledged(shape_.name, ended_.front().task, ended_.front().attempt);
            ended_.pop_front();
        }
        const std::int64_t until =
            steady_ms() + std::min<std::int64_t>(number_of(body, "wait_ms"), 2000);
        while (ended_.empty() && steady_ms() < until) {
            changed_.wait_for(lock, std::chrono::milliseconds(until - steady_ms()));
        }
        std::string active, finished;
        for (const auto& [task, running] : active_) {
            const std::int64_t percent =
                running.length_ms == 0 ? 100
                                       : std::min<std::int64_t>(99, (clock() - running.began_ms) *
                                                                        100 / running.length_ms);
            active += std::string(active.empty() ? "" : ",") + "[" + json_text(task) + "," +
                      std::to_string(running.attempt) + ",\"\"," + std::to_string(percent) + ",0]";
        }
        std::size_t rows = 0;
        for (const end& row : ended_) {
            if (rows++ == 500) {
                break;
            }
            finished += std::string(finished.empty() ? "" : ",") + "[" +
                        std::to_string(row.number) + "," + json_text(row.task) + "," +
                        std::to_string(row.attempt) + ",\"" + row.how + "\",\"\"]";
        }
        return {200, with_clock(",\"active\":[" + active + "],\"finished\":[" + finished + "]")};
    }

    runner_shape shape_;
    int check_in_port_;
    history& runs_;
    duration_of duration_;
    std::int64_t born_, started_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t sequence_{0}, highest_token_{0}, lease_until_{0}, last_end_{0};
    std::map<std::string, run> active_;
    std::deque<end> ended_;
    std::map<std::string, std::int64_t> closed_;
    std::atomic<bool> removed_{false};
    http_listener listener_;
};

/// A process of the system, started with a command of the deploy file.
class process {
public:
    process(std::string name, std::string role, std::string settings, std::string folder)
        : name_(std::move(name))
        , role_(std::move(role))
        , file_(folder + "/" + name_ + ".toml")
        , log_(folder + "/" + name_ + ".log") {
        std::ofstream(file_) << settings;
    }

    ~process() { kill(SIGKILL); }

    void start() {
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("EGRETSTILE_SETTINGS", file_.c_str(), 1);
            const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl("target/bin/egretstiled", "egretstiled", role_.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Sends the signal; waits for the end of the process after SIGKILL.
    void kill(int signal) {
        if (pid_ <= 0) {
            return;
        }
        ::kill(pid_, signal);
        if (signal == SIGKILL) {
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    /// Whether the process has ended by itself.
    bool has_ended() { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_; }

    const std::string& name() const { return name_; }

    /// Whether a line of the log holds the text.
    int log_lines_with(const std::string& text) const {
        std::ifstream log(log_);
        std::string line;
        int count = 0;
        while (std::getline(log, line)) {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
        return count;
    }

private:
    std::string name_, role_, file_, log_;
    pid_t pid_{0};
};

/// A small deployment: entries, agents with their runners, and the store.
class deployment {
public:
    deployment(recorder& record, std::size_t entries, std::size_t agents,
               const runner::duration_of& duration, std::int64_t cpu = 64000)
        : record_(record)
        , runs_(record) {
        char folder[] = "/tmp/egretstile-review-XXXXXX";
        folder_ = ::mkdtemp(folder);
        for (std::size_t i = 0; i < entries; ++i) {
            const std::string name = "entry-" + std::to_string(i + 1);
            const int callers = free_port(), ready = free_port();
            caller_ports_.push_back(callers);
            entries_.push_back(std::make_unique<process>(
                name, "job-entry",
                common(name, i) + "callers = \"127.0.0.1:" + std::to_string(callers) +
                    "\"\nreadiness = \"127.0.0.1:" + std::to_string(ready) +
                    "\"\nprocessor_share = 0.1\nconfig_age_limit_ms = 2000\n"
                    "closure_age_limit_ms = 5000\n",
                folder_));
        }
        for (std::size_t i = 0; i < agents; ++i) {
            const std::string name = "side-" + std::to_string(i + 1);
            const int registration = free_port();
            runners_.push_back(std::make_unique<runner>(
                runner_shape{"i-" + std::to_string(i + 1), "svc", zone(i), "r1", cpu, 256000},
                registration, runs_, duration));
            agents_.push_back(std::make_unique<process>(
                name, "job-agent",
                common(name, i) + "registration = \"127.0.0.1:" + std::to_string(registration) +
                    "\"\nrunner = \"127.0.0.1:" + std::to_string(runners_.back()->port()) + "\"\n",
                folder_));
        }
    }

    /// Ends all processes and removes the temporary folder. The threads of the stand-ins go on
    /// until the program ends, so the object is not destroyed before.
    void stop() {
        for (const auto& one : agents_) {
            one->kill(SIGKILL);
        }
        for (const auto& one : entries_) {
            one->kill(SIGKILL);
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            const std::string command = "rm -rf " + folder_;
            if (std::system(command.c_str()) != 0) {
                record_.line("cannot remove the temporary folder");
            }
        }
    }

    /// Starts all; returns when every entry has accepted a configuration and tasks can run.
    bool start() {
        store_.put("op/config",
                   "{\"version\":1,\"routes\":[{\"name\":\"q1\",\"host\":\"h.example\","
                   "\"prefix\":\"/q1/\",\"service\":\"svc\",\"priority\":1,\"max_attempts\":4,"
                   "\"slack_factor\":2.0,\"target_completion_ms\":1000}],"
                   "\"services\":[{\"name\":\"svc\"}],\"limits\":{\"max_body_bytes\":262144}}");
        for (const auto& entry : entries_) {
            entry->start();
        }
        for (const auto& agent : agents_) {
            agent->start();
        }
        for (const auto& one : runners_) {
            one->begin();
        }
        sleep_ms(4000);
        // A first job shows that everything works.
        for (std::size_t tries = 0; tries < 20; ++tries) {
            if (post(0, "00000000000000aa",
                     job("[{\"count\":1,\"cpu\":100,\"mem_mb\":64,"
                         "\"estimate_ms\":100}]")) == 200) {
                break;
            }
            sleep_ms(300);
        }
        for (std::size_t tries = 0; tries < 40; ++tries) {
            if (state(0, "00000000000000aa") == "completed") {
                return true;
            }
            sleep_ms(250);
        }
        record_.line("the deployment did not start");
        return false;
    }

    static std::string job(const std::string& steps, const std::string& spec = "work") {
        return "{\"spec\":" + json_text(spec) + ",\"steps\":" + steps + "}";
    }

    int post(std::size_t entry, const std::string& id, const std::string& body) {
        const answer got = http_call(caller_ports_[entry], "POST", "/q1/" + id, "h.example", body,
                                     3000, "Egretstile-Deadline-Ms: 3000\r\n");
        record_.line("client: POST " + id + " at " + entries_[entry]->name() + " (" +
                     std::to_string(body.size()) + " bytes) -> " + std::to_string(got.status));
        return got.status;
    }

    int cancel(std::size_t entry, const std::string& id) {
        const answer got = http_call(caller_ports_[entry], "DELETE", "/q1/" + id, "h.example", "",
                                     3000, "Egretstile-Deadline-Ms: 3000\r\n");
        record_.line("client: DELETE " + id + " at " + entries_[entry]->name() + " -> " +
                     std::to_string(got.status));
        return got.status;
    }

    /// The state as the entry shows it; the status in words when it is not 200.
    std::string state(std::size_t entry, const std::string& id) {
        const answer got = http_call(caller_ports_[entry], "GET", "/q1/" + id, "h.example", "",
                                     3000, "Egretstile-Deadline-Ms: 3000\r\n");
        rapidjson::Document body;
        body.Parse(got.body.c_str());
        const std::string shown = got.status == 200 && body.IsObject()
                                      ? text_of(body, "state")
                                      : "status " + std::to_string(got.status);
        record_.line("client: GET " + id + " at " + entries_[entry]->name() + " -> " + shown);
        return shown;
    }

    /// Index of the entry that logged last that it leads.
    std::size_t leader() const {
        std::size_t best = 0;
        int best_epoch = -1;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            for (int epoch = 1; epoch < 30; ++epoch) {
                if (entries_[i]->log_lines_with("Leads. epoch=" + std::to_string(epoch) + " ") >
                        0 &&
                    epoch > best_epoch) {
                    best = i;
                    best_epoch = epoch;
                }
            }
        }
        return best;
    }

    const std::string& folder() const { return folder_; }

    process& entry(std::size_t index) { return *entries_[index]; }

    process& agent(std::size_t index) { return *agents_[index]; }

    std::size_t entry_count() const { return entries_.size(); }

    runner& runner_at(std::size_t index) { return *runners_[index]; }

    store& platform() { return store_; }

    history& runs() { return runs_; }

private:
    static std::string zone(std::size_t index) {
        return index % 3 == 0 ? "north" : index % 3 == 1 ? "central" : "south";
    }

    std::string common(const std::string& name, std::size_t index) {
        return "vm = \"" + name + "\"\nfailure_domain = \"" + zone(index) +
               "\"\nhost = \"127.0.0.1\"\nfirst_port = " + std::to_string(free_port()) +
               "\nmetrics_port = " + std::to_string(free_port()) +
               "\nstore = \"127.0.0.1:" + std::to_string(store_.open(name)) + "\"\n";
    }

    recorder& record_;
    history runs_;
    store store_;
    std::string folder_;
    std::vector<int> caller_ports_;
    std::vector<std::unique_ptr<process>> entries_, agents_;
    std::vector<std::unique_ptr<runner>> runners_;
};

/// What breaks the rule TWICE.
struct verdict {
    int overlapping{0}, after_done{0};
};

/// Of all runs of tasks without `speculative`; an end counts when it was taken note of in the end.
inline verdict judge_twice(const std::vector<run_event>& events) {
    verdict seen;
    std::map<std::string, int> running;
    std::set<std::string> done;
    for (const run_event& event : events) {
        if (event.what != "start") {
            --running[event.task];
            if (event.what == "done" && event.acked) {
                done.insert(event.task);
            }
            continue;
        }
        seen.overlapping += ++running[event.task] > 1 ? 1 : 0;
        seen.after_done += done.count(event.task) != 0 ? 1 : 0;
    }
    return seen;
}

inline bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
