#include <egretstile/core/job/locality_wait.hpp>

#include <catch2/catch.hpp>

namespace egretstile {
namespace {

const boot_time start = boot_time(milliseconds(1000));
const task_ref first_task{"job", 0, 0, 0};
const task_ref second_task{"job", 0, 0, 1};

/// A task of 650 ms that takes twice as long away from `rack`, for a job whose objective is missed
/// there.
wait_case short_case(std::optional<milliseconds> near_free_in) {
    wait_case known;
    known.rack = "rack";
    known.need.cpu_millicores = 1300;
    known.run_time = milliseconds(650);
    known.remote_factor = 2.0;
    known.near_free_in = near_free_in;
    known.due_in = milliseconds(1225);
    return known;
}

locality_settings enabled() {
    locality_settings settings;
    settings.remote_factor = 2.0;
    return settings;
}

// Guards against remote runs that make short jobs late although their rack is full only briefly.
TEST_CASE("a task waits for a near place that is free soon and starts elsewhere otherwise") {
    locality_wait waits(enabled());
    CHECK(waits.decide(first_task, short_case(milliseconds(200)), start) == wait_verdict::begins);
    CHECK(waits.decide(second_task, short_case(milliseconds(640)), start) == wait_verdict::start);
    const task_ref third{"job", 0, 0, 2};
    CHECK(waits.decide(third, short_case(std::nullopt), start) == wait_verdict::start);
    CHECK(waits.totals().begun == 1);
}

// Guards against a wait that itself makes the job late: 575 ms after its start the task could no
// longer meet the objective near its data.
TEST_CASE("a wait ends when the objective could no longer be met near the data") {
    locality_wait waits(enabled());
    REQUIRE(waits.decide(first_task, short_case(milliseconds(200)), start) == wait_verdict::begins);
    CHECK(waits.find(first_task, "rack")->until == start + milliseconds(575));
    wait_case later = short_case(milliseconds(10));
    later.due_in = milliseconds(1225 - 574);
    CHECK(waits.decide(first_task, later, start + milliseconds(574)) == wait_verdict::goes_on);
    later.due_in = milliseconds(1225 - 575);
    CHECK(waits.decide(first_task, later, start + milliseconds(575)) == wait_verdict::start);
}

// Guards against a wait after which a job that was in time elsewhere is late everywhere.
TEST_CASE("a task that is in time elsewhere waits only as long as it stays so") {
    locality_wait waits(enabled());
    wait_case known = short_case(milliseconds(200));
    known.due_in = milliseconds(1400);
    CHECK(waits.decide(first_task, known, start) == wait_verdict::start);
    known.near_free_in = milliseconds(80);
    CHECK(waits.decide(second_task, known, start) == wait_verdict::begins);
    CHECK(waits.find(second_task, "rack")->until == start + milliseconds(100));
}

// Guards against a task that waits for ever because each new prediction promises a place soon.
TEST_CASE("a task whose wait is over does not wait again") {
    locality_wait waits(enabled());
    wait_case known = short_case(milliseconds(100));
    known.due_in.reset();
    REQUIRE(waits.decide(first_task, known, start) == wait_verdict::begins);
    boot_time now = start;
    std::size_t passes = 0;
    while (waits.decide(first_task, known, now) == wait_verdict::goes_on) {
        now += milliseconds(4);
        REQUIRE(waits.begin_pass(now).empty());
        REQUIRE(++passes < 1000);
    }
    CHECK(now - start == milliseconds(652));
    CHECK(waits.decide(first_task, known, now + milliseconds(4)) == wait_verdict::start);
}

// Guards against tasks of an overloaded deployment that go elsewhere as soon as there is any room,
// because the time in which there was none counted as waiting.
TEST_CASE("time without a place elsewhere does not use up a task's wait") {
    locality_wait waits(enabled());
    wait_case known = short_case(milliseconds(100));
    known.due_in.reset();
    REQUIRE(waits.decide(first_task, known, start) == wait_verdict::begins);
    const boot_time later = start + milliseconds(5000);
    REQUIRE(waits.decide(first_task, known, later) == wait_verdict::start);
    waits.renew_without_alternative(first_task, "rack", later);
    CHECK(waits.decide(first_task, known, later + milliseconds(4)) == wait_verdict::goes_on);
    CHECK(waits.decide(first_task, known, later + milliseconds(650)) == wait_verdict::start);
    CHECK(waits.totals().begun == 1);
}

// Guards against waits for a rack that is closed, draining, failing or gone.
TEST_CASE("a wait ends at once when no near place is expected any more") {
    locality_wait waits(enabled());
    REQUIRE(waits.decide(first_task, short_case(milliseconds(100)), start) == wait_verdict::begins);
    CHECK(waits.decide(first_task, short_case(std::nullopt), start + milliseconds(4)) ==
          wait_verdict::start);
    CHECK(waits.finish(first_task, "rack", wait_end::remote, start + milliseconds(4)).has_value());
    CHECK(waits.totals().ended_remote == 1);
    // The prediction was not wrong, so nothing is learned from it.
    CHECK(waits.delay_ratio() == Approx(1.0));
}

// Guards against waits that begin and end with each small change of a prediction.
TEST_CASE("a small change of the prediction does not end a wait") {
    locality_wait waits(enabled());
    wait_case known = short_case(milliseconds(560));
    known.due_in.reset();
    REQUIRE(waits.decide(first_task, known, start) == wait_verdict::begins);
    known.near_free_in = milliseconds(700);
    CHECK(waits.decide(first_task, known, start + milliseconds(4)) == wait_verdict::goes_on);
    known.near_free_in = milliseconds(800);
    CHECK(waits.decide(first_task, known, start + milliseconds(8)) == wait_verdict::start);
}

// Guards against predictions that stay wrong by a factor of two, in either direction: tasks would
// wait for places that come too late, or go elsewhere although a place is free soon.
TEST_CASE("predictions that are wrong by half or by a factor of two are corrected") {
    for (const double error : {0.5, 2.0}) {
        locality_wait waits(enabled());
        wait_case known = short_case(milliseconds(200));
        known.due_in.reset();
        boot_time now = start;
        for (std::uint32_t index = 0; index < 100; ++index) {
            const task_ref task{"job", 0, 0, index};
            REQUIRE(waits.decide(task, known, now) == wait_verdict::begins);
            now += milliseconds(static_cast<int>(200 * error));
            waits.finish(task, "rack", wait_end::near, now);
        }
        CHECK(waits.delay_ratio() == Approx(error).margin(0.1));
    }
}

// Guards against a near place that goes to a task which is in time anywhere, while another is late
// without it.
TEST_CASE("a near place is left to waiting tasks to which it is worth more") {
    locality_wait waits(enabled());
    REQUIRE(waits.decide(first_task, short_case(milliseconds(100)), start) == wait_verdict::begins);
    wait_case unhurried = short_case(milliseconds(0));
    unhurried.due_in = milliseconds(10000);
    unhurried.run_time = milliseconds(2000);
    CHECK(waits.count_ahead(second_task, unhurried) == 1);
    CHECK(waits.count_ahead(second_task, short_case(milliseconds(0))) == 0);
    unhurried.need.cpu_millicores = 1000; // The place is too small for the waiting task.
    CHECK(waits.count_ahead(second_task, unhurried) == 0);
}

// Guards against waits of cancelled jobs that stay for ever, and racks kept free for them.
TEST_CASE("a wait that is not renewed in a pass is dropped") {
    locality_wait waits(enabled());
    waits.begin_pass(start);
    REQUIRE(waits.decide(first_task, short_case(milliseconds(100)), start) == wait_verdict::begins);
    CHECK(waits.begin_pass(start + milliseconds(4)).empty());
    CHECK(waits.wanted_racks().count("rack") == 1);
    CHECK(waits.begin_pass(start + milliseconds(8)).size() == 1);
    CHECK_FALSE(waits.is_awaited("rack"));
    waits.begin_pass(start + milliseconds(1200));
    CHECK(waits.wanted_racks().empty());
}

// Guards against settings without a remote factor that change the behaviour.
TEST_CASE("waiting is disabled without a remote factor") {
    CHECK_FALSE(locality_wait(locality_settings()).is_enabled());
    CHECK(locality_wait(enabled()).is_enabled());
}

} // namespace
} // namespace egretstile
