#include "jobs/in_memory_store.hpp"
#include "jobs/job_api.hpp"
#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <sstream>
#include <string>

namespace egretstile::daemon {
namespace {

using namespace infrastructure;

constexpr milliseconds config_age_limit{200};
constexpr std::size_t max_body_bytes = 100;
const std::string stored_config_key = "op/config";
const std::string job_number = "5c0e7a21d94b36f8";

/// The configuration is stored as its version and the path prefixes of its queues.
class plain_operator_protocol : public operator_protocol {
public:
    std::string prefix() const override { return "op/"; }

    std::string config_key() const override { return stored_config_key; }

    operator_record decode(const std::string& /*key*/, const std::string& value) const override {
        std::istringstream text(value);
        operator_config config;
        config.limits.max_body_bytes = max_body_bytes;
        if (!(text >> config.version)) {
            return malformed_record{"no version"};
        }
        for (std::string prefix; text >> prefix;) {
            queue_policy queue;
            queue.name = prefix;
            queue.host = "example";
            queue.path_prefix = prefix;
            config.queues.push_back(queue);
        }
        return config;
    }
};

/// The body of a submission is the number of the job's tasks, or anything else for a job without
/// steps.
class plain_caller_protocol : public caller_protocol {
public:
    std::variant<job_spec, malformed_job> decode_job(const std::string& body) const override {
        job_spec job;
        std::istringstream text(body);
        std::uint32_t tasks = 0;
        if (text >> tasks) {
            job.steps.emplace_back();
            job.steps.back().count = tasks;
        }
        return job;
    }

    std::string encode_state(job_state state) const override {
        return std::string(name_of(job_state_names, state));
    }

    std::string encode_pending(std::size_t count) const override { return std::to_string(count); }

    bool is_job_id(const std::string& text) const override {
        return text.size() == job_number.size();
    }

    std::string deadline_header() const override { return "deadline"; }

    std::string ready_path() const override { return "/ready"; }
};

/// The callers' interface of one entry, with a store in memory and without a leader.
class entry_fixture {
public:
    explicit entry_fixture(const std::string& config) {
        store.put(stored_config_key, config);
        operators.start();
        run_until([this] { return operators.confirmed_at().has_value(); });
    }

    /// Runs the loop until `done` returns true, for at most 5 s.
    void run_until(const std::function<bool()>& done) {
        const boot_time limit = boot_now() + milliseconds(5000);
        while (!done() && boot_now() < limit) {
            run_for(milliseconds(2));
        }
    }

    void run_for(milliseconds length) {
        loop.call_at(boot_now() + length, [this] { loop.stop(); });
        loop.run();
    }

    /// Status of the response to a call, or zero without one. As the server does, checks the header
    /// of a request with a body first.
    int status_of(const std::string& method, const std::string& path,
                  const std::string& body = "") {
        http_request request;
        request.body = body;
        request.method = method;
        request.path = path;
        request.headers["host"] = "example";
        std::optional<http_response> response;
        if (!body.empty()) {
            response = api.check_head(request, body.size());
        }
        if (response) {
            return response->status;
        }
        api.handle(std::move(request),
                   [&response](http_response&& answer) { response = std::move(answer); });
        run_until([&response] { return response.has_value(); });
        retry_after = response ? response->headers["Retry-After"] : "";
        return response ? response->status : 0;
    }

    event_loop loop;
    in_memory_store store{loop};
    plain_operator_protocol operator_format;
    plain_caller_protocol caller_format;
    operator_view operators{loop, store, operator_format, config_age_limit, {[] {}, [] {}}};
    leader_link link{loop,
                     {wire::peer_role::entry, "edge-1", 0},
                     milliseconds(1000),
                     {[](wire::message&& /*message*/) {}, [] {}}};
    leader_access leader{loop, link};
    /// Has room for some jobs of a thousand tasks, until the leader gives an account.
    job_room room{std::size_t{16} * 1024 * 1024};
    job_entry_metrics metrics;
    job_api api{loop, store, caller_format, operators, leader, room, metrics, {}};
    /// Value of the header in the last response.
    std::string retry_after;
};

} // namespace

// Guards against a queue that was added being refused for good by an entry that cannot learn of the
// change: its configuration may be too old to know the queue.
TEST_CASE("an unknown queue is refused for now while the configuration is not confirmed") {
    entry_fixture entry("7 /old/");
    CHECK(entry.status_of("GET", "/new/") == 404);
    entry.store.reachable = false;
    entry.run_for(2 * config_age_limit);
    entry.store.put(stored_config_key, "8 /old/ /new/");
    CHECK(entry.status_of("GET", "/new/") == 503);
    CHECK(entry.status_of("POST", "/new/" + job_number) == 503);
    entry.store.reachable = true;
    entry.run_until([&entry] { return entry.operators.config()->version == 8; });
    CHECK(entry.operators.config()->version == 8);
    CHECK(entry.status_of("GET", "/other/") == 404);
}

// Guards against a job that is accepted for a queue that has been removed, because the entry has
// not read the change yet.
TEST_CASE("a job is not accepted under a configuration that has been replaced") {
    entry_fixture entry("7 /old/ /kept/");
    entry.store.watches_miss_changes = true;
    entry.store.put(stored_config_key, "8 /kept/ /new/");
    REQUIRE(entry.operators.config()->version == 7);
    CHECK(entry.status_of("POST", "/old/" + job_number) == 404);
    CHECK(entry.store.value_of(store_keys::job(job_number)).empty());
    CHECK(entry.operators.config()->version == 8);
}

// Guards against callers being refused when the configuration changes while their job is stored,
// and against a repeated submission being taken for a new job.
TEST_CASE("a job of a queue that remains is accepted under the new configuration") {
    entry_fixture entry("7 /kept/");
    entry.store.watches_miss_changes = true;
    entry.store.put(stored_config_key, "8 /kept/ /new/");
    REQUIRE(entry.operators.config()->version == 7);
    CHECK(entry.status_of("POST", "/kept/" + job_number) == 200);
    const std::string stored = entry.store.value_of(store_keys::job(job_number));
    CHECK_FALSE(stored.empty());
    entry.store.put(stored_config_key, "9 /kept/");
    CHECK(entry.status_of("POST", "/kept/" + job_number) == 200);
    CHECK(entry.store.value_of(store_keys::job(job_number)) == stored);
}

// Guards against a process that runs out of memory, because it parses a body that is larger than
// the operators allow.
TEST_CASE("a body over the configured limit is refused before it is parsed") {
    entry_fixture entry("7 /kept/");
    CHECK(entry.status_of("POST", "/kept/" + job_number, std::string(max_body_bytes, ' ')) == 200);
    CHECK(entry.status_of("POST", "/kept/" + job_number, std::string(max_body_bytes + 1, ' ')) ==
          413);
}

// Guards against a job that is accepted although its progress can become larger than the store
// takes, so that it can never be shown as completed.
TEST_CASE("a job whose progress may not fit into the store is refused at once") {
    entry_fixture entry("1 /jobs/");
    CHECK(entry.status_of("POST", "/jobs/" + job_number, "100000") == 400);
    CHECK(entry.store.value_of(store_keys::job(job_number)).empty());
    CHECK(entry.status_of("POST", "/jobs/" + job_number, "1000") == 200);
}

// Guards against many accepted jobs that together take more memory than a leader has, so that none
// of them is ever done.
TEST_CASE("jobs are refused with a time to come back when the leader has no memory left") {
    entry_fixture entry("1 /jobs/");
    std::string refused;
    for (int number = 10; number < 40 && refused.empty(); ++number) {
        const std::string id = "5c0e7a21d94b36" + std::to_string(number);
        const int status = entry.status_of("POST", "/jobs/" + id, "1000");
        CHECK((status == 200 || status == 503));
        refused = status == 200 ? "" : id;
    }
    REQUIRE_FALSE(refused.empty());
    CHECK(entry.store.value_of(store_keys::job(refused)).empty());
    CHECK_FALSE(entry.retry_after.empty());
    // A repetition of an accepted submission is still known.
    CHECK(entry.status_of("POST", "/jobs/5c0e7a21d94b3610", "1000") == 200);
    entry.room.apply_account({std::int64_t{16} * 1024 * 1024, 0});
    CHECK(entry.status_of("POST", "/jobs/" + refused, "1000") == 200);
}

} // namespace egretstile::daemon
