#include "jobs/in_memory_store.hpp"
#include "jobs/prefix_view.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace egretstile::daemon {
namespace {

using namespace infrastructure;

constexpr milliseconds watch_wait{100};

/// A view of the keys below "op/" of a store in memory, with the values that it has shown.
class followed_keys {
public:
    explicit followed_keys(milliseconds list_delay = milliseconds(1)) {
        store.list_delay = list_delay;
        store.put("op/config", "first");
        view.start();
    }

    void run_for(milliseconds length) {
        loop.call_at(boot_now() + length, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    in_memory_store store{loop};
    std::map<std::string, std::string> values;
    boot_clock::duration greatest_age{0};
    prefix_view view{loop,
                     store,
                     "op/",
                     watch_wait,
                     view_confirmation::listings,
                     {[this](const store_item& item) { values[item.key] = item.value; }, [] {}}};
};

} // namespace

// Guards against a change that is never applied: the store's watches miss it, while their answers
// show that the store's revision has passed it.
TEST_CASE("a change that the watches miss is shown by a listing within one wait") {
    followed_keys keys;
    keys.loop.call_at(boot_now() + milliseconds(20), [&keys] {
        keys.store.watches_miss_changes = true;
        keys.store.put("op/config", "second");
        keys.store.put("op/evacuate/north", "");
    });
    keys.run_for(2 * watch_wait + milliseconds(100));
    CHECK(keys.values["op/config"] == "second");
    CHECK(keys.values.count("op/evacuate/north") == 1);
}

// Guards against a view that counts as confirmed because its watches answer, although a watch
// without events does not prove that nothing has changed.
TEST_CASE("a steady stream of changes does not delay the confirmation by a listing") {
    followed_keys keys;
    int written = 0;
    keys.loop.call_every(milliseconds(5), [&keys, &written] {
        keys.store.put("op/config", std::to_string(++written));
        if (keys.view.confirmed_at()) {
            keys.greatest_age = std::max(keys.greatest_age, boot_now() - *keys.view.confirmed_at());
        }
    });
    keys.run_for(10 * watch_wait);
    CHECK(keys.store.listings >= 5);
    CHECK(keys.greatest_age < 2 * watch_wait);
}

// Guards against an agent that does not find the leader while the store is slow: each refresh
// discarded the listing that was about to be answered.
TEST_CASE("refreshes that come faster than the store answers do not discard its answers") {
    followed_keys keys(milliseconds(60));
    keys.loop.call_every(milliseconds(20), [&keys] { keys.view.refresh(); });
    keys.run_for(milliseconds(300));
    CHECK(keys.values["op/config"] == "first");
    CHECK(keys.view.confirmed_at().has_value());
}

} // namespace egretstile::daemon
