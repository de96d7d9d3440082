#include "kv/key_value_service.hpp"

#include <utility>

namespace egretstile::standins {

namespace {

service_answer value_answer(versioned_value found) {
    service_answer answer;
    answer.content_type = "application/octet-stream";
    answer.status = found.revision == 0 ? 404 : 200;
    answer.headers.emplace_back("Revision", std::to_string(found.revision));
    answer.body = std::move(found.value);
    return answer;
}

service_answer lease_answer(bool exists) {
    return exists ? service_answer{} : reason_answer(404, "no such lease");
}

} // namespace

key_value_service::key_value_service(const key_value_limits& limits)
    : limits_(limits)
    , writes_(limits.writes_per_second)
    , reads_(limits.reads_per_second) {
    add_call("GET", "/v1/kv/*", call_class::read, &key_value_service::get);
    add_call("PUT", "/v1/kv/*", call_class::write, &key_value_service::put);
    add_call("DELETE", "/v1/kv/*", call_class::write, &key_value_service::remove);
    add_call("POST", "/v1/leases", call_class::write, &key_value_service::grant);
    add_call("POST", "/v1/leases/*/renew", call_class::write, &key_value_service::renew);
    add_call("DELETE", "/v1/leases/*", call_class::write, &key_value_service::revoke);
    add_admin();
}

void key_value_service::add_call(const std::string& method, const std::string& pattern,
                                 call_class kind, operation run) {
    routes_.add(method, pattern, [this, kind, run](const service_call& call) {
        return run_with_faults(call, kind, run);
    });
}

void key_value_service::add_admin() {
    routes_.add("POST", "/admin/fault", [this](const service_call& call) {
        service_answer answer = fault_.set(call);
        state_.cancel_watches();
        return answer;
    });
    routes_.add("POST", "/admin/leases/*/lapse", [this](const service_call& call) {
        return lease_answer(state_.end_lease(call.parameters.at(0)));
    });
    routes_.add("POST", "/admin/lapse_all", [this](const service_call& /*call*/) {
        state_.end_all_leases();
        return service_answer{};
    });
    routes_.add("GET", "/admin/stats", [this](const service_call& call) { return stats(call); });
}

bool key_value_service::within_rate(call_class kind) {
    const std::lock_guard lock(mutex_);
    const token_bucket::clock::time_point now = token_bucket::clock::now();
    return kind == call_class::write ? writes_.try_acquire(now) : reads_.try_acquire(now);
}

void key_value_service::count(const std::string& name) {
    const std::lock_guard lock(mutex_);
    ++counts_[name];
}

service_answer key_value_service::run_with_faults(const service_call& call, call_class kind,
                                                  operation run) {
    count("calls");
    fault_.delay_call();
    if (fault_.mode() == fault_mode::down) {
        count("refused_down");
        return reason_answer(503, "service down");
    }
    if (!within_rate(kind)) {
        count("rate_limited");
        return reason_answer(429, "rate limit exceeded");
    }
    service_answer answer = (this->*run)(call);
    const fault_mode mode = fault_.mode();
    if (mode == fault_mode::down) {
        // The service went down while the call ran. A waiting watch fails; a write has taken
        // effect, and a 503 would say that it has not.
        return kind == call_class::read ? reason_answer(503, "service down") : answer;
    }
    if (mode == fault_mode::lose_answers && kind == call_class::write) {
        answer.delivered = delivery::none;
    }
    return answer;
}

service_answer key_value_service::get(const service_call& call) {
    const std::string& key = call.parameters.at(0);
    if (!call.query.contains("after")) {
        count("get");
        return value_answer(state_.get(key));
    }
    count("watch");
    const std::chrono::milliseconds wait(call.number("wait_ms", 0));
    return value_answer(state_.watch(key, call.number("after", 0), wait));
}

service_answer key_value_service::put(const service_call& call) {
    count("put");
    if (call.body.size() > limits_.max_value_bytes) {
        return reason_answer(413, "value too large");
    }
    std::uint64_t revision = 0;
    const write_result result =
        state_.put(call.parameters.at(0), std::stoull(call.query.at("expected")), call.body,
                   call.text("lease"), revision);
    if (result == write_result::no_lease) {
        return reason_answer(404, "no such lease");
    }
    service_answer answer;
    if (result == write_result::conflict) {
        count("conflicts");
        answer = reason_answer(409, "revision differs");
    }
    answer.headers.emplace_back("Revision", std::to_string(revision));
    return answer;
}

service_answer key_value_service::remove(const service_call& call) {
    count("delete");
    const std::uint64_t expected = std::stoull(call.query.at("expected"));
    if (state_.remove(call.parameters.at(0), expected) == write_result::conflict) {
        count("conflicts");
        return reason_answer(409, "revision differs");
    }
    return {};
}

service_answer key_value_service::grant(const service_call& call) {
    count("grant");
    service_answer answer;
    answer.content_type = "text/plain";
    answer.body =
        state_.grant_lease(std::chrono::milliseconds(std::stoull(call.query.at("ttl_ms"))));
    return answer;
}

service_answer key_value_service::renew(const service_call& call) {
    count("renew");
    return lease_answer(state_.renew_lease(call.parameters.at(0)));
}

service_answer key_value_service::revoke(const service_call& call) {
    count("revoke");
    return lease_answer(state_.end_lease(call.parameters.at(0)));
}

service_answer key_value_service::stats(const service_call& /*call*/) {
    const std::lock_guard lock(mutex_);
    service_answer answer;
    answer.body = "{\"standin\":\"kv\"";
    for (const auto& [name, value] : counts_) {
        answer.body += ",\"" + name + "\":" + std::to_string(value);
    }
    answer.body += "}";
    return answer;
}

} // namespace egretstile::standins
