#include "proxy/proxy_service.hpp"

#include "proxy/relay.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace egretstile::standins {

namespace {

constexpr int backlog = 256;

void accept_connections(Poco::Net::ServerSocket listener,
                        const std::shared_ptr<link_control>& control) {
    for (;;) {
        try {
            const Poco::Net::StreamSocket client = listener.acceptConnection();
            std::thread([client, control] { relay(client, control).run(); }).detach();
        } catch (const Poco::Exception&) {
            // The client closed the connection before it was accepted.
            std::this_thread::yield();
        } catch (const std::system_error&) {
            // The thread could not be started; the connection is closed.
            std::this_thread::yield();
        }
    }
}

link_target target_of(const service_call& call) {
    return {call.text("host", "127.0.0.1"),
            static_cast<std::uint16_t>(std::stoul(call.query.at("port")))};
}

link_rule rule_of(const service_call& call) {
    link_rule rule;
    rule.mode = value_of(link_mode_names, call.text("mode", "none")).value();
    rule.direction = value_of(link_direction_names, call.text("direction", "both")).value();
    rule.bytes = call.number("bytes", 0);
    rule.count = static_cast<std::uint32_t>(call.number("count", 1));
    rule.delay = std::chrono::milliseconds(call.number("delay_ms", 0));
    if (rule.count == 0) {
        throw std::invalid_argument("count must be at least 1");
    }
    return rule;
}

} // namespace

proxy_service::proxy_service() {
    routes_.add("POST", "/admin/links", [this](const service_call& call) { return add(call); });
    routes_.add("POST", "/admin/links/*/rule",
                [this](const service_call& call) { return set_rule(call); });
    routes_.add("POST", "/admin/links/*/target", [this](const service_call& call) {
        find(call.parameters.at(0))->set_target(target_of(call));
        return service_answer{};
    });
    routes_.add("POST", "/admin/links/*/reset", [this](const service_call& call) {
        find(call.parameters.at(0))->reset_connections();
        return service_answer{};
    });
    routes_.add("GET", "/admin/stats", [this](const service_call& /*call*/) { return stats(); });
}

std::shared_ptr<link_control> proxy_service::find(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return links_.at(name);
}

std::uint16_t proxy_service::add_link(const std::string& name, std::uint16_t listen_port,
                                      const link_target& target) {
    const Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", listen_port),
                                           backlog);
    auto control = std::make_shared<link_control>(target);
    {
        const std::lock_guard lock(mutex_);
        if (!links_.emplace(name, control).second) {
            throw std::invalid_argument("a link of this name exists already");
        }
    }
    std::thread([listener, control] { accept_connections(listener, control); }).detach();
    return listener.address().port();
}

service_answer proxy_service::add(const service_call& call) {
    const auto listen = static_cast<std::uint16_t>(call.number("listen", 0));
    const std::uint16_t port = add_link(call.query.at("name"), listen, target_of(call));
    service_answer answer;
    answer.body = "{\"port\":" + std::to_string(port) + "}";
    return answer;
}

service_answer proxy_service::set_rule(const service_call& call) {
    find(call.parameters.at(0))->set_rule(rule_of(call));
    return {};
}

service_answer proxy_service::stats() {
    const std::lock_guard lock(mutex_);
    service_answer answer;
    const char* separator = "{";
    for (const auto& [name, control] : links_) {
        const link_counts counts = control->counts();
        answer.body += separator + ("\"" + name + "\":{\"connections\":") +
                       std::to_string(counts.connections) +
                       ",\"bytes_to_target\":" + std::to_string(counts.bytes_to_target) +
                       ",\"bytes_to_client\":" + std::to_string(counts.bytes_to_client) + "}";
        separator = ",";
    }
    answer.body += links_.empty() ? "{}" : "}";
    return answer;
}

} // namespace egretstile::standins
