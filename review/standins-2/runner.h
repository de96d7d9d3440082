#pragma once

#include "record.h"

#include <egretstile/runtime/http/http_client.hpp>
#include <egretstile/runtime/http/http_server.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egretstile::review {

struct runner_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::int64_t cpu_millicores{64000};
    /// Address of the runner, and the address at which its agent takes check-ins.
    endpoint address;
    endpoint agent;
    milliseconds heartbeat_interval{1500};
    milliseconds stop_time{200};
    milliseconds checkpoint_interval{500};
    /// How long a task runs; zero: until it is stopped.
    std::function<milliseconds(const std::string& task)> duration;
};

/// A call of the agent, as the runner has received it.
struct runner_call {
    std::string path;
    std::string task;
    std::int64_t attempt{0};
    std::int64_t deadline_ms{0};
    std::int64_t acked_through{0};
};

/// Stand-in for the runner of one VM, as the platform's pages describe it. Must be used on the
/// event loop's thread only.
class runner {
public:
    /// Decides on a call before it is carried out: nothing: it is carried out and answered at once;
    /// a time: it gets no answer and is carried out after that time.
    using delay_rule = std::function<std::optional<milliseconds>(const runner_call&)>;

    runner(event_loop& loop, runner_options options, record& log);

    /// Ends the process: what runs on it ends, and its address refuses connections.
    void crash();
    /// Starts the process again, under the same id.
    void restart();

    bool is_up() const { return server_ != nullptr; }

    void set_delay_rule(delay_rule rule) { delay_rule_ = std::move(rule); }

    std::size_t active_count() const { return active_.size(); }

    std::size_t unacknowledged_ends() const { return ended_.size(); }

    /// Processor time that the active tasks were declared with is not known to a runner, so this is
    /// the number of active runs of the job.
    std::size_t active_of(const std::string& job) const;
    /// Carries out the calls now that were received at least `age` ago and left unanswered.
    void carry_out_late_calls(milliseconds age);

    const std::string& id() const { return options_.id; }

    std::string process_name() const;

private:
    struct active_run {
        std::int64_t attempt{0};
        std::int64_t started_ms{0};
        std::int64_t duration_ms{0};
        /// Zero: no stop was ordered.
        std::int64_t stops_at_ms{0};
        std::string checkpoint;
    };

    struct listed_end {
        std::int64_t number{0};
        std::string task;
        std::int64_t attempt{0};
        std::string outcome;
        std::string checkpoint;
    };

    struct waiting_hold {
        std::int64_t answer_at_ms{0};
        http_server::responder respond;
    };

    struct late_call {
        http_request request;
        /// Kept, so that the connection stays open.
        http_server::responder respond;
        boot_time received_at;
    };

    void start_process();
    void carry_out_late(const http_request& request);
    void receive(http_request&& request, const http_server::responder& respond);
    void carry_out(const http_request& request, const http_server::responder& respond);
    http_response start_task(const std::string& body);
    http_response stop_task(const std::string& body);
    void hold(const std::string& body, const http_server::responder& respond);
    void answer_holds();
    void tick();
    void send_heartbeat();
    void end_run(const std::string& task, const std::string& outcome);
    void extend_lease(std::int64_t until_ms);
    std::int64_t clock_ms() const;
    std::string lists() const;
    std::string with_clock(const std::string& fields) const;

    event_loop& loop_;
    runner_options options_;
    record& log_;
    http_client agent_;
    std::unique_ptr<http_server> server_;
    delay_rule delay_rule_;
    boot_time started_at_{};
    std::int64_t born_ms_{0};
    std::int64_t sequence_{0};
    std::int64_t highest_token_{0};
    /// The agent has called the present process for its lists.
    bool was_read_{false};
    std::int64_t lease_until_ms_{0};
    std::int64_t last_end_{0};
    std::map<std::string, active_run> active_;
    std::deque<listed_end> ended_;
    /// Highest attempt of each task that was stopped or has ended here.
    std::map<std::string, std::int64_t> closed_;
    std::list<waiting_hold> holds_;
    /// Calls without an answer, by number.
    std::map<std::uint64_t, late_call> late_calls_;
    std::uint64_t late_call_count_{0};
};

} // namespace egretstile::review
