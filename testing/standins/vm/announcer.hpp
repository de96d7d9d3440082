#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace egretstile::standins {

struct announced_upstream {
    std::string service;
    std::string host{"127.0.0.1"};
    std::uint16_t port{0};
    std::uint32_t slots{8};
    std::uint32_t connections{64};
};

/// Announces the upstream to the agent's local HTTP port every 500 ms, and immediately after a
/// change. Thread-safe.
class announcer {
public:
    explicit announcer(announced_upstream upstream);
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;
    announcer(announcer&&) = delete;
    announcer& operator=(announcer&&) = delete;
    ~announcer();

    /// Sends all further announcements to this agent; with port 0, stops announcing.
    void set_agent(const std::string& host, std::uint16_t port);

    /// Sets the state in all further announcements to `leaving`.
    void leave();

private:
    void run();
    std::string body(bool leaving) const;
    void post(const std::string& host, std::uint16_t port, const std::string& body) const;

    announced_upstream upstream_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string agent_host_;
    std::uint16_t agent_port_{0};
    std::uint64_t changes_{0};
    bool leaving_{false};
    bool stopping_{false};
    std::thread thread_;
};

} // namespace egretstile::standins
