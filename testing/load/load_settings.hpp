#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretstile::load {

struct request_settings {
    std::string service{"lookup"};
    /// Requests a second, sent at even intervals whether or not answers arrive.
    double rate{0};
    /// Connections, each with its own thread. Must exceed rate times latency, otherwise requests
    /// are sent late.
    std::uint32_t threads{16};
    bool idempotent{true};
    std::chrono::milliseconds deadline{2000};
    /// Minimum size of a body; each body begins with the request's id.
    std::uint32_t body_bytes{64};
};

struct task_settings {
    double rate{0};
    std::uint32_t threads{4};
    std::string kind{"reconciliation"};
    std::string priority{"normal"};
    std::string team{"load"};
    bool idempotent{false};
    std::int64_t cpu_millicores{1000};
    std::int64_t memory_mb{256};
    std::int64_t work_ms{100};
    /// Time after the submissions during which the tasks' states are read until each is final;
    /// zero: states are not read.
    std::chrono::seconds follow{0};
};

/// Settings of one run of the tool.
struct load_settings {
    std::string host{"127.0.0.1"};
    /// Callers' ports of the entries; the connections are spread over them in turn.
    std::vector<std::uint16_t> ports;
    /// Prefix of request ids and task keys; must differ between runs against one deployment.
    std::string prefix{"load"};
    /// Time during which calls are due; `max_count` ends sending earlier. Calls that are late are
    /// still made until 1.5 times this duration.
    std::chrono::seconds duration{10};
    std::uint64_t max_count{100000};
    request_settings requests;
    task_settings tasks;
};

/// Hard limits of the tool, so that a mistyped option cannot load the machine indefinitely.
inline constexpr std::chrono::seconds max_duration{600};
inline constexpr std::uint64_t max_call_count = 2000000;
inline constexpr std::uint32_t max_threads = 256;

/// Lowers the settings to the hard limits.
void apply_limits(load_settings& settings);

} // namespace egretstile::load
