#include "net/frame_client.hpp"
#include "net/frame_server.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace egretstile::daemon {
namespace {

constexpr std::size_t messages = 100;
/// All messages together exceed what the system buffers for a connection.
constexpr std::size_t message_bytes = std::size_t{120} * 1024;
constexpr milliseconds time_limit{10000};

/// A leader and an agent that reads only while its loop runs.
class connected_pair {
public:
    connected_pair()
        : server(leader_loop, endpoint{"127.0.0.1", 0}, "key",
                 {wire::peer_role::entry, "leader", 0},
                 frame_connection::handlers{
                     [](frame_connection& /*connection*/, wire::message&& /*message*/) {},
                     [this](frame_connection& connection, const wire::hello& /*hello*/) {
                         to_agent = connection.shared_from_this();
                     },
                     [this](frame_connection& /*connection*/) { ++closed; }})
        , client(agent_loop, endpoint{"127.0.0.1", server.port()}, "key",
                 {wire::peer_role::agent, "vm", 0},
                 frame_connection::handlers{
                     [this](frame_connection& /*connection*/, wire::message&& message) {
                         const vm_orders* const orders = std::get_if<vm_orders>(&message);
                         received += orders != nullptr && orders->number == received + 1 ? 1 : 0;
                     },
                     [](frame_connection& /*connection*/, const wire::hello& /*hello*/) {},
                     [this](frame_connection& /*connection*/) { ++closed; }}) {
        client.maintain();
    }

    static void run(event_loop& loop) {
        loop.call_at(boot_now() + milliseconds(5), [&loop] { loop.stop(); });
        loop.run();
    }

    template <typename Condition>
    bool run_until(Condition condition) {
        const boot_time end = boot_now() + time_limit;
        while (!condition() && boot_now() < end) {
            run(leader_loop);
            run(agent_loop);
        }
        return condition();
    }

    event_loop leader_loop;
    event_loop agent_loop;
    std::shared_ptr<frame_connection> to_agent;
    std::size_t received{0};
    int closed{0};
    frame_server server;
    frame_client client;
};

} // namespace

// Guards against a leader that closes the connection to an agent, and loses all orders under way,
// whenever more is sent than the system buffers.
TEST_CASE("a connection whose peer reads slowly stays open and delivers every message in order") {
    connected_pair pair;
    REQUIRE(pair.run_until([&pair] { return pair.to_agent && pair.client.is_open(); }));
    for (std::size_t number = 1; number <= messages; ++number) {
        vm_orders orders;
        orders.number = number;
        orders.starts.emplace_back();
        orders.starts.back().payload = std::string(message_bytes, 'x');
        REQUIRE(pair.to_agent->send(orders));
        connected_pair::run(pair.leader_loop);
    }
    CHECK(pair.to_agent->queued_bytes() > 0);
    CHECK(pair.run_until([&pair] { return pair.received == messages; }));
    CHECK(pair.closed == 0);
}

} // namespace egretstile::daemon
