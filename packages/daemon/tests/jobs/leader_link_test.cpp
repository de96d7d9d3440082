#include "jobs/leader_link.hpp"
#include "net/frame_server.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace egretstile::daemon {
namespace {

const std::string peer_key = "key";
constexpr milliseconds silence_limit{200};

/// A leader that accepts connections and sends nothing after the handshake.
class silent_leader {
public:
    explicit silent_leader(event_loop& loop)
        : server(loop, endpoint{"127.0.0.1", 0}, peer_key, {wire::peer_role::entry, "leader", 0},
                 frame_connection::handlers{
                     [this](frame_connection& /*connection*/, wire::message&& message) {
                         if (const wire::leadership_ended* const ended =
                                 std::get_if<wire::leadership_ended>(&message)) {
                             ended_epochs.push_back(ended->epoch);
                         }
                     },
                     [this](frame_connection& /*connection*/, const wire::hello& /*hello*/) {
                         ++opened;
                     },
                     [](frame_connection& /*connection*/) {}}) {}

    int opened{0};
    /// Epochs of this leader that others have told to have ended.
    std::vector<epoch_number> ended_epochs;
    frame_server server;
};

// Pattern: connections between processes stay open and carry nothing any more. Guards against an
// agent or entry that follows the leader on such a connection and is cut off until it restarts.
TEST_CASE("a link whose connection falls silent opens a new one") {
    event_loop loop;
    silent_leader leader(loop);
    int opened = 0;
    leader_link link(loop, {wire::peer_role::agent, "vm", 0}, silence_limit,
                     {[](wire::message&& /*message*/) {}, [&opened] { ++opened; }});
    loop.call_at(boot_now(), [&] {
        link.follow(leader_record{1, endpoint{"127.0.0.1", leader.server.port()}, "leader"},
                    peer_key);
    });
    loop.call_at(boot_now() + milliseconds(1500), [&loop] { loop.stop(); });
    loop.run();
    CHECK(opened >= 2);
    CHECK(leader.opened >= 2);
}

// Guards against a former leader that goes on to lead because it alone cannot reach the store,
// while others have read there that it no longer leads.
TEST_CASE("a leader is told when the store no longer names it") {
    event_loop loop;
    silent_leader former(loop);
    silent_leader next(loop);
    const bool has_next = GENERATE(true, false);
    leader_link link(loop, {wire::peer_role::agent, "vm", 0}, milliseconds(10000),
                     {[](wire::message&& /*message*/) {}, [] {}});
    loop.call_at(boot_now(), [&] {
        link.follow(leader_record{7, endpoint{"127.0.0.1", former.server.port()}, "former"},
                    peer_key);
    });
    loop.call_at(boot_now() + milliseconds(600), [&] {
        const leader_record record{8, endpoint{"127.0.0.1", next.server.port()}, "next"};
        link.follow(has_next ? std::optional<leader_record>(record) : std::nullopt, peer_key);
    });
    loop.call_at(boot_now() + milliseconds(1200), [&loop] { loop.stop(); });
    loop.run();
    CHECK(former.ended_epochs == std::vector<epoch_number>{7});
    CHECK(next.ended_epochs.empty());
    CHECK(next.opened == (has_next ? 1 : 0));
}

} // namespace
} // namespace egretstile::daemon
