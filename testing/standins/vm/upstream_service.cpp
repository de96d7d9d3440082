#include "vm/upstream_service.hpp"

#include "common/serve_answer.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <algorithm>
#include <thread>

namespace egretstile::standins {

namespace {

constexpr std::size_t max_label_bytes = 64;

Poco::JSON::Object request_fields(const service_call& call) {
    Poco::JSON::Object fields;
    fields.set("id", call.header("request-id"));
    // Tests start the body with an id of their own, so that they find the request whichever request
    // id the system assigns.
    fields.set("label", call.body.substr(0, std::min(call.body.find(' '), max_label_bytes)));
    return fields;
}

} // namespace

upstream_service::upstream_service(const upstream_settings& settings, run_table& runs,
                                   event_log& log, const fault_injector& fault)
    : settings_(settings)
    , runs_(runs)
    , log_(log)
    , fault_(fault)
    , random_(settings.seed) {
    routes_.add("POST", "/v1/serve", [this](const service_call& call) { return serve(call); });
}

service_answer upstream_service::refuse(const service_call& call, const std::string& reason) {
    Poco::JSON::Object fields = request_fields(call);
    fields.set("reason", reason);
    log_.write("overload", boot_now(), fields);
    return reason_answer(503, reason);
}

service_answer upstream_service::serve(const service_call& call) {
    if (fault_.mode() == fault_mode::down) {
        return reason_answer(503, "upstream down");
    }
    if (connection_counter_ && connection_counter_() > static_cast<int>(settings_.connections)) {
        return refuse(call, "connections");
    }
    {
        const std::lock_guard lock(mutex_);
        if (slots_in_use_ >= settings_.slots) {
            return refuse(call, "slots");
        }
        adjust_slots_in_use(1);
    }
    service_answer answer = serve_in_slot(call);
    const std::lock_guard lock(mutex_);
    adjust_slots_in_use(-1);
    return answer;
}

void upstream_service::adjust_slots_in_use(int change) {
    slots_in_use_ = static_cast<std::uint32_t>(static_cast<int>(slots_in_use_) + change);
    runs_.set_service_load(static_cast<double>(slots_in_use_) / settings_.slots);
}

std::chrono::microseconds upstream_service::next_service_time() {
    const std::lock_guard lock(mutex_);
    const double spread = settings_.jitter_percent / 100.0;
    const double factor = std::uniform_real_distribution(1.0 - spread, 1.0 + spread)(random_);
    return std::chrono::duration_cast<std::chrono::microseconds>(settings_.service_time * factor);
}

service_answer upstream_service::serve_in_slot(const service_call& call) {
    log_.write("request_start", boot_now(), request_fields(call));
    fault_.delay_call();
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        next_service_time() * runs_.request_slowdown());
    std::this_thread::sleep_for(time);
    service_answer answer;
    answer.content_type = "application/octet-stream";
    answer.body = serve_answer(call.body);
    log_.write("request_end", boot_now(), request_fields(call));
    if (fault_.mode() == fault_mode::lose_answers) {
        answer.delivered = delivery::none;
    } else if (fault_.mode() == fault_mode::truncate) {
        answer.delivered = delivery::truncated;
    }
    return answer;
}

} // namespace egretstile::standins
