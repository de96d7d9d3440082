#include <egretstile/core/placement/task_queue.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace egretstile {
namespace {

constexpr boot_time start{std::chrono::seconds(1000)};
constexpr resources one_core{1000, 1000, 0};

queued_task waiting(const task_key& key, task_priority priority, boot_time at = start,
                    const std::string& team = "survey") {
    return {key, team, priority, one_core, at};
}

team_plan quota_of(const std::string& team, std::int64_t cores) {
    return {team, {cores * 1000, 1000000, 0}, 0};
}

using keys = std::vector<task_key>;

// Guards against urgent work that waits behind a backlog of normal work.
TEST_CASE("urgent tasks go first, older ones before newer ones") {
    task_queue queue;
    queue.add(waiting("n1", task_priority::normal, start - milliseconds(10)));
    queue.add(waiting("u2", task_priority::urgent, start + milliseconds(2)));
    queue.add(waiting("u1", task_priority::urgent, start));
    CHECK(queue.order(10, start + milliseconds(5)) == keys{"u1", "u2", "n1"});
    CHECK(queue.order(2, start + milliseconds(5)) == keys{"u1", "u2"});
}

// Guards against normal tasks that never start under a stream of urgent ones, also when only one
// task starts at a time.
TEST_CASE("an aged normal task has its turn between urgent ones") {
    task_queue queue;
    queue.add(waiting("normal", task_priority::normal));
    const boot_time later = start + milliseconds(30000);
    int starts = 0;
    for (int i = 0; i < 10 && queue.contains("normal"); ++i) {
        queue.add(waiting("u" + std::to_string(i), task_priority::urgent, later));
        const keys next = queue.order(1, later);
        REQUIRE(next.size() == 1);
        queue.started(next.front());
        ++starts;
    }
    CHECK_FALSE(queue.contains("normal"));
    CHECK(starts == 5);
}

// Guards against a long backlog of aged tasks that delays urgent ones past their bound.
TEST_CASE("a backlog of aged tasks takes one turn in five") {
    task_queue queue;
    for (int i = 0; i < 100; ++i) {
        queue.add(waiting("n" + std::to_string(i), task_priority::normal));
    }
    const boot_time later = start + milliseconds(3600000);
    for (int i = 0; i < 20; ++i) {
        queue.add(waiting("u" + std::to_string(i), task_priority::urgent, later));
    }
    const keys next = queue.order(25, later);
    CHECK(std::count_if(next.begin(), next.end(),
                        [](const task_key& key) { return key.front() == 'u'; }) == 20);
}

// Guards against a team that takes more of the fleet than the plan gives it.
TEST_CASE("a team stays within its quota, counting what runs and what is ahead in the order") {
    task_queue queue;
    queue.set_quotas({quota_of("survey", 3)});
    queue.set_running({{"survey", one_core}});
    for (int i = 0; i < 5; ++i) {
        queue.add(waiting("s" + std::to_string(i), task_priority::normal));
    }
    queue.add(waiting("other", task_priority::normal, start + milliseconds(1), "archive"));
    CHECK(queue.order(10, start) == keys{"s0", "s1", "other"});
    queue.started("s0");
    queue.started("s1");
    CHECK(queue.order(10, start) == keys{"other"});
    queue.release("survey", one_core);
    CHECK(queue.order(10, start) == keys{"s2", "other"});
}

// Guards against a quota that is used up twice, once by urgent and once by normal tasks.
TEST_CASE("urgent and normal tasks share the quota") {
    task_queue queue;
    queue.set_quotas({quota_of("survey", 2)});
    queue.add(waiting("n1", task_priority::normal));
    queue.add(waiting("n2", task_priority::normal));
    queue.add(waiting("u1", task_priority::urgent));
    CHECK(queue.order(10, start) == keys{"u1", "n1"});
}

// Guards against a quota of the former plan that goes on after the row was removed.
TEST_CASE("a removed quota no longer applies") {
    task_queue queue;
    queue.set_quotas({quota_of("survey", 0)});
    queue.add(waiting("n1", task_priority::normal));
    CHECK(queue.order(10, start).empty());
    queue.set_quotas({});
    CHECK(queue.order(10, start) == keys{"n1"});
}

// Guards against small tasks of a team that overtake its large one for ever.
TEST_CASE("within a team no task overtakes one that waits for the quota") {
    task_queue queue;
    queue.set_quotas({quota_of("survey", 4)});
    queue.set_running({{"survey", one_core}});
    queued_task large = waiting("large", task_priority::normal);
    large.need = {4000, 1000, 0};
    queue.add(large);
    queue.add(waiting("small", task_priority::normal, start + milliseconds(1)));
    CHECK(queue.order(10, start).empty());
    queue.release("survey", one_core);
    CHECK(queue.order(10, start) == keys{"large"});
}

// Guards against tasks without a fitting VM that fill every round and hold up all others.
TEST_CASE("a postponed task leaves the order for a while and keeps its place") {
    task_queue queue;
    queue.add(waiting("huge", task_priority::urgent));
    queue.add(waiting("small", task_priority::urgent, start + milliseconds(1)));
    queue.postpone("huge", start + milliseconds(100));
    CHECK(queue.order(1, start + milliseconds(99)) == keys{"small"});
    CHECK(queue.order(1, start + milliseconds(100)) == keys{"huge"});
    queue.postpone("huge", start + milliseconds(200));
    queue.remove("huge");
    CHECK(queue.order(5, start + milliseconds(300)) == keys{"small"});
}

// Guards against a task that is listed twice, or after it was cancelled.
TEST_CASE("a key waits once and can be removed") {
    task_queue queue;
    queue.add(waiting("n1", task_priority::normal));
    queue.add(waiting("n1", task_priority::urgent));
    CHECK(queue.size() == 1);
    queue.remove("n1");
    queue.remove("n1");
    CHECK(queue.order(10, start).empty());
}

} // namespace
} // namespace egretstile
