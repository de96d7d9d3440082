#include "runner.h"

#include "json.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace egretstile::review {

using platform::json_string;
using platform::number_in;
using platform::parse_object;
using platform::text_in;

namespace {

constexpr milliseconds tick_interval{5};
constexpr milliseconds heartbeat_timeout{1000};
/// The platform's setting `hold_max_ms`.
constexpr std::int64_t hold_max_ms = 10000;
constexpr std::int64_t longest_wait_ms = 2000;
constexpr std::size_t ends_of_answer = 500;

http_response make_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace

runner::runner(event_loop& loop, runner_options options, record& log)
    : loop_(loop)
    , options_(std::move(options))
    , log_(log)
    , agent_(loop, options_.agent) {
    start_process();
    loop_.call_every(tick_interval, [this] { tick(); });
    loop_.call_every(options_.heartbeat_interval, [this] { send_heartbeat(); });
}

void runner::start_process() {
    born_ms_ = std::max(wall_now_ms(), born_ms_ + 1);
    started_at_ = boot_now();
    sequence_ = 0;
    highest_token_ = 0;
    was_read_ = false;
    lease_until_ms_ = 0;
    last_end_ = 0;
    closed_.clear();
    server_ = std::make_unique<http_server>(
        loop_, options_.address, http_server::limits{},
        [this](http_request&& request, const http_server::responder& respond) {
            receive(std::move(request), respond);
        });
    log_.write("runner " + process_name() + " started");
}

void runner::crash() {
    while (!active_.empty()) {
        end_run(std::string(active_.begin()->first), "gone");
    }
    ended_.clear();
    holds_.clear();
    server_.reset();
    log_.write("runner " + process_name() + " crashed");
}

void runner::restart() {
    start_process();
    send_heartbeat();
}

std::size_t runner::active_of(const std::string& job) const {
    return static_cast<std::size_t>(
        std::count_if(active_.begin(), active_.end(), [&job](const auto& row) {
            return row.first.compare(0, job.size() + 1, job + ".") == 0;
        }));
}

std::string runner::process_name() const {
    return options_.id + "@" + std::to_string(born_ms_);
}

std::int64_t runner::clock_ms() const {
    return std::chrono::duration_cast<milliseconds>(boot_now() - started_at_).count();
}

void runner::send_heartbeat() {
    if (server_ == nullptr) {
        return;
    }
    http_request call;
    call.method = "POST";
    call.path = "/v1/instances/" + options_.id + "/heartbeat";
    call.headers["Content-Type"] = "application/json";
    call.body = "{\"service\":" + json_string(options_.service) + ",\"address\":\"" +
                to_string(options_.address) + "\",\"zone\":" + json_string(options_.zone) +
                R"(,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)" +
                R"("capacity":{"cpu":)" + std::to_string(options_.cpu_millicores) +
                R"(,"mem_mb":256000,"gpu":0},"labels":["a",)" + json_string(options_.rack) +
                "],\"clock_ms\":" + std::to_string(clock_ms()) +
                ",\"born\":" + std::to_string(born_ms_) +
                ",\"sequence\":" + std::to_string(++sequence_) + "}";
    agent_.call(std::move(call), heartbeat_timeout, [](http_result&& /*result*/) {});
}

void runner::receive(http_request&& request, const http_server::responder& respond) {
    const std::optional<rapidjson::Document> body = parse_object(request.body);
    if (!body) {
        respond(make_response(400, with_clock("")));
        return;
    }
    if (delay_rule_) {
        const runner_call call{request.path, text_in(*body, "task").value_or(""),
                               number_in(*body, "attempt").value_or(0),
                               number_in(*body, "deadline_ms").value_or(0),
                               number_in(*body, "acked_through").value_or(0)};
        if (const std::optional<milliseconds> delay = delay_rule_(call)) {
            log_.write("runner " + process_name() + " leaves unanswered " + call.path + " " +
                       call.task + " attempt " + std::to_string(call.attempt) + ", deadline_ms " +
                       std::to_string(call.deadline_ms) + ", acked_through " +
                       std::to_string(call.acked_through) + ", clock_ms " +
                       std::to_string(clock_ms()));
            const std::uint64_t number = ++late_call_count_;
            late_calls_[number] = {request, respond, boot_now()};
            loop_.call_at(boot_now() + *delay, [this, number] {
                const auto found = late_calls_.find(number);
                if (found != late_calls_.end()) {
                    const http_request late = std::move(found->second.request);
                    late_calls_.erase(found);
                    carry_out_late(late);
                }
            });
            return;
        }
    }
    carry_out(request, respond);
}

void runner::carry_out_late_calls(milliseconds age) {
    std::vector<http_request> due;
    for (auto call = late_calls_.begin(); call != late_calls_.end();) {
        if (boot_now() < call->second.received_at + age) {
            ++call;
            continue;
        }
        due.push_back(std::move(call->second.request));
        call = late_calls_.erase(call);
    }
    for (const http_request& request : due) {
        carry_out_late(request);
    }
}

void runner::carry_out_late(const http_request& request) {
    if (server_ == nullptr) {
        log_.write("runner " + options_.id + " is down: the late call is lost");
        return;
    }
    log_.write("runner " + process_name() + " carries out the late " + request.path + " " +
               request.body + ", clock_ms " + std::to_string(clock_ms()));
    carry_out(request, [this](http_response&& response) {
        log_.write("the late call's result, which nobody gets: " + std::to_string(response.status) +
                   " " + response.body);
    });
}

void runner::carry_out(const http_request& request, const http_server::responder& respond) {
    const std::optional<rapidjson::Document> body = parse_object(request.body);
    if (request.header("egretstile-expect-instance", options_.id) != options_.id) {
        respond(make_response(421, with_clock("")));
        return;
    }
    const std::int64_t token = number_in(*body, "fencing_token").value_or(0);
    if (token < highest_token_) {
        respond(make_response(409, with_clock(R"(,"reason":"fence")")));
        return;
    }
    highest_token_ = token;
    if (request.path == "/v1/hold" && !std::exchange(was_read_, true)) {
        log_.write("the agent reads the lists of runner " + process_name() + " for the first time");
    }
    if (request.path == "/v1/run-start") {
        respond(start_task(request.body));
    } else if (request.path == "/v1/run-stop") {
        respond(stop_task(request.body));
    } else if (request.path == "/v1/hold") {
        hold(request.body, respond);
    } else {
        respond(make_response(200, with_clock("")));
    }
}

http_response runner::start_task(const std::string& body) {
    const std::optional<rapidjson::Document> call = parse_object(body);
    const std::string task = text_in(*call, "task").value_or("");
    const std::int64_t attempt = number_in(*call, "attempt").value_or(0);
    const std::int64_t deadline = number_in(*call, "deadline_ms").value_or(0);
    if (deadline <= clock_ms()) {
        return make_response(409, with_clock(R"(,"reason":"late")"));
    }
    extend_lease(deadline);
    const auto found = active_.find(task);
    if (found != active_.end() && found->second.attempt == attempt) {
        return make_response(200, with_clock(""));
    }
    if (found != active_.end() || attempt <= closed_[task]) {
        return make_response(409, with_clock(R"(,"reason":"old")"));
    }
    active_run run;
    run.attempt = attempt;
    run.started_ms = clock_ms();
    run.duration_ms = options_.duration ? options_.duration(task).count() : 0;
    run.checkpoint = text_in(*call, "checkpoint").value_or("");
    active_[task] = run;
    log_.note_start(process_name(), task, attempt);
    return make_response(200, with_clock(""));
}

http_response runner::stop_task(const std::string& body) {
    const std::optional<rapidjson::Document> call = parse_object(body);
    const std::string task = text_in(*call, "task").value_or("");
    const std::int64_t attempt = number_in(*call, "attempt").value_or(0);
    closed_[task] = std::max(closed_[task], attempt);
    const auto found = active_.find(task);
    if (found != active_.end() && found->second.attempt <= attempt &&
        found->second.stops_at_ms == 0) {
        found->second.stops_at_ms = clock_ms() + options_.stop_time.count();
    }
    return make_response(200, with_clock(""));
}

void runner::hold(const std::string& body, const http_server::responder& respond) {
    const std::optional<rapidjson::Document> call = parse_object(body);
    extend_lease(number_in(*call, "deadline_ms").value_or(0));
    const std::int64_t acknowledged = number_in(*call, "acked_through").value_or(0);
    while (!ended_.empty() && ended_.front().number <= acknowledged) {
        log_.note_acknowledged(process_name(), ended_.front().task, ended_.front().attempt);
        ended_.pop_front();
    }
    const std::int64_t wait = std::min(number_in(*call, "wait_ms").value_or(0), longest_wait_ms);
    holds_.push_back({clock_ms() + wait, respond});
    answer_holds();
}

void runner::answer_holds() {
    for (auto waiting = holds_.begin(); waiting != holds_.end();) {
        if (ended_.empty() && clock_ms() < waiting->answer_at_ms) {
            ++waiting;
            continue;
        }
        const http_server::responder respond = std::move(waiting->respond);
        waiting = holds_.erase(waiting);
        respond(make_response(200, with_clock(lists())));
    }
}

void runner::tick() {
    if (server_ == nullptr) {
        return;
    }
    std::vector<std::pair<std::string, const char*>> ends;
    const std::int64_t now = clock_ms();
    for (const auto& [task, run] : active_) {
        if (now >= lease_until_ms_) {
            ends.emplace_back(task, "lapsed");
        } else if (run.duration_ms != 0 && now >= run.started_ms + run.duration_ms) {
            ends.emplace_back(task, "done");
        } else if (run.stops_at_ms != 0 && now >= run.stops_at_ms) {
            ends.emplace_back(task, "stopped");
        }
    }
    for (const auto& [task, outcome] : ends) {
        end_run(task, outcome);
    }
    answer_holds();
}

void runner::end_run(const std::string& task, const std::string& outcome) {
    const active_run run = active_.at(task);
    active_.erase(task);
    closed_[task] = std::max(closed_[task], run.attempt);
    ended_.push_back({++last_end_, task, run.attempt, outcome, run.checkpoint});
    log_.note_end(process_name(), task, run.attempt, outcome);
}

void runner::extend_lease(std::int64_t until_ms) {
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, clock_ms() + hold_max_ms));
}

std::string runner::lists() const {
    std::string active;
    for (const auto& [task, run] : active_) {
        const std::int64_t percent =
            run.duration_ms == 0
                ? 100
                : std::clamp<std::int64_t>((clock_ms() - run.started_ms) * 100 / run.duration_ms, 0,
                                           99);
        active += (active.empty() ? "[" : ",[") + json_string(task) + "," +
                  std::to_string(run.attempt) + "," + json_string(run.checkpoint) + "," +
                  std::to_string(percent) + ",0]";
    }
    std::string ended;
    for (std::size_t row = 0; row < std::min(ended_.size(), ends_of_answer); ++row) {
        const listed_end& end = ended_[row];
        ended += (ended.empty() ? "[" : ",[") + std::to_string(end.number) + "," +
                 json_string(end.task) + "," + std::to_string(end.attempt) + ",\"" + end.outcome +
                 "\"," + json_string(end.checkpoint) + "]";
    }
    return ",\"active\":[" + active + "],\"finished\":[" + ended + "]";
}

std::string runner::with_clock(const std::string& fields) const {
    return "{\"clock_ms\":" + std::to_string(clock_ms()) + ",\"born\":" + std::to_string(born_ms_) +
           fields + "}";
}

} // namespace egretstile::review
