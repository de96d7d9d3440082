#include "jobs/in_memory_store.hpp"
#include "jobs/operator_state_exchange.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

namespace egretstile::daemon {
namespace {

using namespace infrastructure;

constexpr milliseconds config_age_limit{2000};
constexpr epoch_number epoch = 3;

using names = std::set<failure_domain_name>;

class no_operator_keys : public operator_protocol {
public:
    std::string prefix() const override { return "op/"; }

    std::string config_key() const override { return "op/config"; }

    operator_record decode(const std::string& /*key*/,
                           const std::string& /*value*/) const override {
        return unrecognized_record{};
    }
};

operator_config version(std::uint64_t number) {
    operator_config config;
    config.version = number;
    return config;
}

/// One process that never reads the store itself.
struct process {
    event_loop loop;
    in_memory_store store{loop};
    no_operator_keys format;
    operator_view operators{loop, store, format, config_age_limit, {[] {}, [] {}}};
    operator_state_exchange exchange{operators};
};

/// One ping of the entry and all that follows, in the order in which it is sent.
void exchange_once(process& entry, process& leader, boot_time now) {
    const wire::leader_ping ping = entry.exchange.next_ping(now);
    leader.exchange.apply_ping(ping, epoch);
    if (const auto update = leader.exchange.update_for(ping)) {
        entry.exchange.apply_update(*update);
    }
    wire::leader_pong pong;
    pong.number = ping.number;
    pong.epoch = epoch;
    pong.serving = true;
    leader.exchange.describe(pong, now);
    if (const auto update = entry.exchange.apply_pong(pong)) {
        leader.exchange.apply_update(*update);
    }
}

} // namespace

// Guards against an entry that keeps to an old configuration for as long as the store turns it
// away, although the leader knows the new one.
TEST_CASE("an entry gets a later configuration and its confirmation from the leader") {
    process entry;
    process leader;
    const boot_time now = boot_now();
    entry.operators.offer(version(7), 70);
    leader.operators.offer(version(9), 90);
    leader.operators.confirm(9, now - milliseconds(300));
    exchange_once(entry, leader, now);
    CHECK(entry.operators.config()->version == 9);
    CHECK(entry.operators.config_revision() == 90);
    CHECK(entry.operators.confirmed_at() == now - milliseconds(300));
    CHECK(entry.operators.is_current(now));
    CHECK_FALSE(entry.operators.is_current(now + config_age_limit));
}

// Guards against a leader that the store turns away and that schedules by an old configuration,
// although an entry that follows it knows the new one.
TEST_CASE("the leader gets a later configuration from an entry") {
    process entry;
    process leader;
    const boot_time now = boot_now();
    entry.operators.offer(version(9), 90);
    leader.operators.offer(version(7), 70);
    leader.operators.confirm(7, now - milliseconds(5000));
    exchange_once(entry, leader, now);
    CHECK(leader.operators.config()->version == 9);
    CHECK(entry.operators.config()->version == 9);
    CHECK_FALSE(entry.operators.is_current(now));
}

// Guards against a pong that arrives late and makes an old configuration look confirmed.
TEST_CASE("a pong confirms nothing after a later ping, or from a leader without confirmation") {
    process entry;
    process leader;
    const boot_time now = boot_now();
    entry.operators.offer(version(7), 70);
    leader.operators.offer(version(7), 70);
    exchange_once(entry, leader, now);
    CHECK_FALSE(entry.operators.confirmed_at().has_value());
    leader.operators.confirm(7, now);
    wire::leader_pong late;
    late.number = entry.exchange.next_ping(now).number;
    leader.exchange.describe(late, now);
    entry.exchange.next_ping(now + milliseconds(4000));
    entry.exchange.apply_pong(late);
    CHECK_FALSE(entry.operators.confirmed_at().has_value());
}

// Guards against tasks that a leader, which the store turns away, starts in a failure domain that
// was closed meanwhile: another entry has read the closure.
TEST_CASE("the leader gets closed failure domains and their confirmation from an entry") {
    process entry;
    process leader;
    const boot_time now{milliseconds(50000)};
    leader.operators.merge_closed({{}, 10}, now - milliseconds(4000));
    entry.operators.merge_closed({{{"north", 12}}, 14}, now - milliseconds(300));
    exchange_once(entry, leader, now);
    CHECK(leader.operators.closed().names() == names{"north"});
    // The entry has not answered a pong yet, so it is not known when it stated the age.
    CHECK(leader.operators.closed().confirmed_at() == now - milliseconds(4000));
    exchange_once(entry, leader, now + milliseconds(500));
    // The entry stated an age of 800 ms after the first pong.
    CHECK(leader.operators.closed().confirmed_at() == now - milliseconds(800));
}

// Guards against a new leader that has been turned away by the store and does not know a closure.
TEST_CASE("an entry gets closed failure domains and their confirmation from the leader") {
    process entry;
    process leader;
    const boot_time now{milliseconds(50000)};
    leader.operators.merge_closed({{{"north", 12}}, 14}, now - milliseconds(300));
    entry.operators.merge_closed({{{"south", 5}}, 10}, std::nullopt);
    exchange_once(entry, leader, now);
    CHECK(entry.operators.closed().names() == names{"north"});
    CHECK(entry.operators.closed().confirmed_at() == now - milliseconds(300));
    CHECK(leader.operators.closed().names() == names{"north"});
}

// Guards against a ping that is held up on its way and makes the closed failure domains look newly
// confirmed, and against one that answers an earlier leader with another clock.
TEST_CASE("a late ping confirms the closed failure domains as of the pong that it answers") {
    process entry;
    process leader;
    const boot_time now{milliseconds(50000)};
    entry.operators.merge_closed({{}, 14}, now);
    exchange_once(entry, leader, now);
    const wire::leader_ping held_up = entry.exchange.next_ping(now + milliseconds(100));
    leader.exchange.apply_ping(held_up, epoch + 1);
    CHECK_FALSE(leader.operators.closed().confirmed_at().has_value());
    leader.exchange.apply_ping(held_up, epoch);
    CHECK(leader.operators.closed().confirmed_at() == now - milliseconds(100));
}

} // namespace egretstile::daemon
