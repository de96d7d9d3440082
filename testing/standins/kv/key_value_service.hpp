#pragma once

#include "common/fault_injector.hpp"
#include "common/route_table.hpp"
#include "kv/key_value_state.hpp"
#include "kv/token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace egretstile::standins {

struct key_value_limits {
    double writes_per_second{400};
    double reads_per_second{2000};
    std::size_t max_value_bytes{std::size_t{1} << 20U};
};

/// HTTP interface of the key-value service (docs/design.md, section 6) with fault injection and
/// counts of calls. For the rate limits, calls that concern leases are writes. Thread-safe.
class key_value_service {
public:
    explicit key_value_service(const key_value_limits& limits);

    const route_table& routes() const { return routes_; }

private:
    enum class call_class : std::uint8_t { read, write };

    using operation = service_answer (key_value_service::*)(const service_call&);

    void add_call(const std::string& method, const std::string& pattern, call_class kind,
                  operation run);
    void add_admin();
    /// Runs the operation within the rate limit and applies the configured fault.
    service_answer run_with_faults(const service_call& call, call_class kind, operation run);
    bool within_rate(call_class kind);
    void count(const std::string& name);

    service_answer get(const service_call& call);
    service_answer put(const service_call& call);
    service_answer remove(const service_call& call);
    service_answer grant(const service_call& call);
    service_answer renew(const service_call& call);
    service_answer revoke(const service_call& call);
    service_answer stats(const service_call& call);

    key_value_limits limits_;
    key_value_state state_;
    fault_injector fault_;
    route_table routes_;
    std::mutex mutex_;
    token_bucket writes_;
    token_bucket reads_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace egretstile::standins
