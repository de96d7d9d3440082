#include "agent/agent_process.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

constexpr milliseconds advance_interval{50};
constexpr milliseconds status_interval{250};
/// Maximum number of concurrent calls to the upstream. An upstream that announces more slots is
/// used up to this number.
constexpr std::size_t max_upstream_calls = 64;
/// A stopping agent keeps sending heartbeats for at least this long, so that every entry receives
/// its draining state.
constexpr milliseconds stop_notification_time{1000};
/// After a pause of the process longer than this, its state of the VM's drain and of the upstream
/// may be out of date. Well below the bound of 4 s for draining VMs, and above the stalls of a busy
/// machine.
constexpr milliseconds pause_threshold{2000};
/// Time to confirm the state after such a pause: enough to reconnect and then to receive the
/// upstream's next announcement and the replies to the next heartbeats (500 ms each).
constexpr milliseconds confirmation_time{1500};

incarnation_number make_incarnation() {
    return static_cast<incarnation_number>(boot_now().time_since_epoch().count());
}

upstream_availability to_availability(wire::upstream_state state) {
    switch (state) {
    case wire::upstream_state::ready:
        return upstream_availability::ready;
    case wire::upstream_state::leaving:
        return upstream_availability::leaving;
    case wire::upstream_state::absent:
        return upstream_availability::absent;
    }
    return upstream_availability::absent;
}

/// Id that is sent to the upstream for its log; unique in the deployment.
std::string format_request_id(const request_id& id) {
    return id.entry + "/" + std::to_string(id.number);
}

/// `entry` is the id under which admission recorded the heartbeats of this connection. It may
/// differ from the session that the reply names: the entry may have opened a new session since the
/// connection was made.
owner_reply to_owner_reply(const entry_id& entry, const wire::heartbeat_reply& reply) {
    owner_reply result;
    result.entry = entry;
    result.sequence = reply.sequence;
    result.plan_known = reply.plan_known;
    result.plan_revision = reply.plan_revision;
    result.plan_age = milliseconds(reply.plan_age_ms);
    result.domain_in_service = reply.domain_in_service;
    result.vm_drained = reply.vm_drained;
    for (const wire::shard_grant& granted : reply.grants) {
        result.grants.push_back({granted.shard, granted.epoch});
    }
    result.stop = reply.stop;
    result.acknowledged = reply.acknowledged;
    return result;
}

start_request to_start_request(const entry_id& entry, const wire::start_task& message) {
    start_request request;
    request.entry = entry;
    request.shard = message.shard;
    request.epoch = message.epoch;
    request.spec = message.spec;
    request.attempt = message.attempt;
    request.incarnation = message.incarnation;
    request.worker_boot = message.worker_boot;
    request.heartbeat_sequence = message.heartbeat_sequence;
    request.checkpoint = message.checkpoint;
    return request;
}

request_limiter_settings make_limiter_settings(const agent_settings& settings) {
    request_limiter_settings limits;
    limits.max_waiting = settings.max_waiting;
    return limits;
}

} // namespace

agent_process::agent_process(agent_settings settings)
    : settings_(std::move(settings))
    , incarnation_(make_incarnation())
    , tracer_("agent", settings_.common.trace_file)
    , worker_(settings_.worker.host, settings_.worker.port, settings_.worker_timeout)
    , admission_(incarnation_, settings_.common.terms)
    , limiter_(make_limiter_settings(settings_))
    , upstream_(settings_.announce_lifetime)
    , worker_caller_(
          loop_, worker_, incarnation_, admission_,
          [this](const task_run& run, call_result result) { send_start_reply(run, result); })
    , upstream_client_(loop_, max_upstream_calls)
    , links_(loop_, settings_, incarnation_,
             {[this](frame_connection& connection, wire::message&& message) {
                 handle_message(connection, std::move(message));
             }})
    , announcements_(settings_.announce, http_service::limits{8, std::size_t{64} * 1024},
                     [this](const http_request& request) { return handle_announcement(request); }) {
}

void agent_process::run() {
    last_active_ = boot_now();
    start_timers();
    write_ports_file();
    write_log(log_part::process, log_level::info, "Started an agent.",
              "vm=" + settings_.vm + " failure_domain=" + settings_.failure_domain +
                  " incarnation=" + std::to_string(incarnation_) +
                  " announce=" + std::to_string(announcements_.port()));
    loop_.run();
    announcements_.stop();
    worker_.abort();
}

void agent_process::request_stop() {
    if (stop_requested_.exchange(true)) {
        return;
    }
    loop_.post([this] {
        write_log(log_part::process, log_level::info, "Stopping.",
                  "open_requests=" + std::to_string(open_requests_.size()));
        stopping_ = true;
        stop_deadline_ = boot_now() + settings_.stop_timeout;
        earliest_stop_ = boot_now() + stop_notification_time;
        admission_.set_draining(true);
        update_limiter(boot_now());
        send_heartbeats();
    });
}

void agent_process::start_timers() {
    worker_caller_.poll_status();
    loop_.call_every(status_interval, [this] { worker_caller_.poll_status(); });
    loop_.call_every(settings_.common.terms.heartbeat_interval, [this] { send_heartbeats(); });
    loop_.call_every(advance_interval, [this] { advance(); });
}

void agent_process::write_ports_file() const {
    if (settings_.common.ports_file.empty()) {
        return;
    }
    // Written under another name and then renamed, so that a reader never sees a partial file.
    const std::string partial = settings_.common.ports_file + ".partial";
    std::ofstream(partial) << "{\"announce\":" << announcements_.port() << "}\n";
    static_cast<void>(std::rename(partial.c_str(), settings_.common.ports_file.c_str()));
}

http_answer agent_process::handle_announcement(const http_request& request) {
    if (request.path == "/healthz") {
        return {200, "text/plain", {}, "ok\n"};
    }
    if (request.method != "POST" || request.path != "/v1/announce") {
        return {404, "text/plain", {}, "no such path\n"};
    }
    const std::variant<announcement, std::string> parsed = parse_announcement(request.body);
    if (const std::string* const error = std::get_if<std::string>(&parsed)) {
        return {400, "text/plain", {}, *error + "\n"};
    }
    loop_.post([this, value = std::get<announcement>(parsed)] {
        const boot_time now = boot_now();
        const wire::upstream_state before = upstream_.state(now);
        upstream_.update(value, now);
        update_limiter(now);
        if (before != upstream_.state(now)) {
            write_log(log_part::upstream, log_level::info, "The upstream changed its state.",
                      "state=" + std::string(name_of(wire::upstream_state_names, value.state)));
            send_heartbeats();
        }
    });
    return {200, "text/plain", {}, "ok\n"};
}

void agent_process::handle_message(frame_connection& connection, wire::message&& message) {
    if (const wire::heartbeat_reply* const reply = std::get_if<wire::heartbeat_reply>(&message)) {
        handle_heartbeat_reply(connection, *reply);
    } else if (const wire::start_task* const start = std::get_if<wire::start_task>(&message)) {
        handle_start(connection, *start);
    } else if (const wire::evict_task* const evict = std::get_if<wire::evict_task>(&message)) {
        admission_.request_stop(evict->shard, evict->epoch, evict->run, evict->take_checkpoint);
        advance();
    } else if (const wire::throttle_task* const throttle =
                   std::get_if<wire::throttle_task>(&message)) {
        worker_caller_.throttle(throttle->run, throttle->cpu_percent);
    } else if (wire::serve_request* const request = std::get_if<wire::serve_request>(&message)) {
        handle_request(connection, std::move(*request));
    } else if (const wire::cancel_request* const cancel =
                   std::get_if<wire::cancel_request>(&message)) {
        handle_cancel(connection, *cancel);
    }
}

void agent_process::handle_heartbeat_reply(const frame_connection& connection,
                                           const wire::heartbeat_reply& reply) {
    const boot_time now = boot_now();
    links_.record_reply(connection, reply.entries, now);
    admission_.reply_received(to_owner_reply(connection.peer().name, reply), now);
    worker_caller_.make_due_calls(now);
}

void agent_process::handle_start(frame_connection& connection, const wire::start_task& message) {
    const task_run run{message.spec.key, message.attempt};
    const start_decision decision =
        admission_.request_start(to_start_request(connection.peer().name, message), boot_now());
    wire::start_reply reply;
    reply.report.run = run;
    reply.report.shard = message.shard;
    if (const start_admitted* const admitted = std::get_if<start_admitted>(&decision)) {
        waiting_starts_[run] = connection.weak_from_this();
        worker_caller_.start(admitted->call);
        return;
    }
    if (const start_refused* const refused = std::get_if<start_refused>(&decision)) {
        reply.report.phase = run_phase::refused;
        reply.reason = refused->reason;
        write_log(log_part::admission, log_level::debug, "Refused to start a task.",
                  "task=" + run.key +
                      " reason=" + std::string(name_of(refusal_names, refused->reason)));
    } else {
        reply.report = std::get<start_existing>(decision).report;
    }
    connection.send(reply);
}

void agent_process::send_start_reply(const task_run& run, call_result result) {
    const auto waiting = waiting_starts_.find(run);
    if (waiting == waiting_starts_.end()) {
        return;
    }
    const std::shared_ptr<frame_connection> connection = waiting->second.lock();
    waiting_starts_.erase(waiting);
    for (const run_report& report : admission_.reports()) {
        if (report.run == run && connection != nullptr) {
            wire::start_reply reply;
            reply.report = report;
            reply.reason = result == call_result::refused ? refusal::worker_refused : refusal::none;
            connection->send(reply);
        }
    }
}

void agent_process::handle_request(frame_connection& connection, wire::serve_request&& message) {
    const boot_time now = boot_now();
    detect_pause(now);
    const request_id id{connection.peer().name, message.request_id};
    const boot_time deadline =
        now + milliseconds(static_cast<milliseconds::rep>(message.deadline_ms));
    const bool is_served =
        upstream_.last_announcement() && upstream_.last_announcement()->service == message.service;
    if (!is_served) {
        wire::serve_reply reply;
        reply.request_id = message.request_id;
        reply.outcome = wire::serve_outcome::not_run;
        reply.reason = refusal::no_upstream;
        connection.send(reply);
        return;
    }
    const limiter_decision decision = limiter_.offer(id, deadline, now);
    if (std::holds_alternative<request_duplicate>(decision)) {
        return;
    }
    open_request open;
    open.connection = connection.weak_from_this();
    open.deadline = deadline;
    open.trace_span =
        std::make_unique<span>(tracer_, "agent.request", trace_context::parse(message.traceparent));
    open.message = std::move(message);
    open_requests_.emplace(id, std::move(open));
    if (std::holds_alternative<request_admitted>(decision)) {
        call_upstream(id);
    } else if (const request_refused* const refused = std::get_if<request_refused>(&decision)) {
        refuse_request(id, refused->reason);
    }
}

void agent_process::handle_cancel(const frame_connection& connection,
                                  const wire::cancel_request& message) {
    const request_id id{connection.peer().name, message.request_id};
    if (limiter_.cancel(id) == cancel_result::cancelled) {
        open_requests_.erase(id);
    }
}

void agent_process::send_heartbeats() {
    const boot_time now = boot_now();
    wire::heartbeat heartbeat = make_heartbeat(now);
    links_.for_each_open([this, &heartbeat, now](const entry_id& entry, frame_client& client) {
        heartbeat.sequence = admission_.heartbeat_sent(entry, now);
        client.send(heartbeat);
    });
}

wire::heartbeat agent_process::make_heartbeat(boot_time now) const {
    const worker_status& status = worker_caller_.last_status();
    wire::heartbeat heartbeat;
    heartbeat.vm = settings_.vm;
    heartbeat.incarnation = incarnation_;
    heartbeat.failure_domain = settings_.failure_domain;
    heartbeat.rack = status.rack;
    // A worker that does not answer may be dead. Its runs are not reported, so their owners stop
    // granting them and may start them elsewhere when the last grants have ended.
    const bool worker_unresponsive = worker_caller_.unresponsive(now);
    heartbeat.worker_known = admission_.worker_known() && !worker_unresponsive;
    heartbeat.worker_boot = admission_.worker_boot();
    heartbeat.capacity = admission_.capacity();
    heartbeat.reserved = admission_.reserved();
    heartbeat.plan_revision = admission_.plan().revision();
    heartbeat.draining = admission_.draining() || !worker_caller_.reachable();
    heartbeat.upstream.state = advertised_state(now);
    if (upstream_.last_announcement()) {
        heartbeat.upstream.service = upstream_.last_announcement()->service;
        heartbeat.upstream.slots = upstream_.last_announcement()->slots;
        heartbeat.upstream.connections = upstream_.last_announcement()->connections;
    }
    heartbeat.upstream.slots_in_use =
        static_cast<std::uint32_t>(limiter_.slots_in_use() + limiter_.waiting());
    if (limiter_.response_time()) {
        heartbeat.upstream.latency_us = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(*limiter_.response_time())
                .count());
    }
    if (worker_unresponsive) {
        return heartbeat;
    }
    heartbeat.runs = admission_.reports();
    for (const worker_run& run : status.runs) {
        if (!has_ended(run.phase)) {
            heartbeat.usage.push_back({run.run, run.team, run.kind, run.need, run.used});
        }
    }
    return heartbeat;
}

void agent_process::advance() {
    const boot_time now = boot_now();
    detect_pause(now);
    links_.maintain(now);
    worker_caller_.make_due_calls(now);
    update_limiter(now);
    apply_outcomes(limiter_.tick(now));
    finish_stop_if_ready();
}

/// While the process is paused, requests queue in its sockets. When it resumes, it must not begin
/// them before it has confirmed that its VM was not drained and its upstream did not leave in the
/// meantime.
void agent_process::detect_pause(boot_time now) {
    const bool paused = now - last_active_ > pause_threshold;
    last_active_ = now;
    if (paused) {
        confirm_until_ = now + confirmation_time;
        write_log(
            log_part::admission, log_level::warning,
            "The process was paused; the upstream counts as leaving until its state is confirmed.");
        update_limiter(now);
    }
}

wire::upstream_state agent_process::advertised_state(boot_time now) const {
    return stopping_ || now < confirm_until_ ? wire::upstream_state::leaving : upstream_.state(now);
}

void agent_process::update_limiter(boot_time now) {
    const wire::upstream_state state =
        admission_.draining() ? wire::upstream_state::leaving : advertised_state(now);
    const std::size_t slots =
        upstream_.last_announcement() ? upstream_.last_announcement()->slots : 0;
    apply_outcomes(
        limiter_.set_upstream(to_availability(state), std::min(slots, max_upstream_calls), now));
}

void agent_process::apply_outcomes(const std::vector<waiting_outcome>& outcomes) {
    for (const waiting_outcome& outcome : outcomes) {
        if (const request_admitted* const admitted = std::get_if<request_admitted>(&outcome)) {
            call_upstream(admitted->id);
        } else {
            const request_refused& refused = std::get<request_refused>(outcome);
            refuse_request(refused.id, refused.reason);
        }
    }
}

void agent_process::call_upstream(const request_id& id) {
    const open_request& open = open_requests_.at(id);
    upstream_call call;
    call.address = upstream_.last_announcement()->address;
    call.request_id = format_request_id(id);
    call.body = open.message.body;
    call.traceparent = open.trace_span->context().traceparent();
    call.deadline = open.deadline;
    upstream_client_.call(std::move(call), [this, id](const upstream_answer& answer) {
        handle_upstream_answer(id, answer);
    });
}

void agent_process::handle_upstream_answer(const request_id& id, const upstream_answer& answer) {
    detect_pause(boot_now());
    wire::serve_reply reply;
    reply.request_id = id.number;
    reply.outcome = answer.outcome;
    reply.http_status = answer.http_status;
    reply.body = answer.body;
    if (answer.outcome == wire::serve_outcome::not_run) {
        reply.reason = refusal::no_upstream;
    }
    send_reply(id, reply);
    const request_end end = answer.outcome == wire::serve_outcome::answered ? request_end::answered
                                                                            : request_end::failed;
    apply_outcomes(limiter_.finished(id, end, boot_now()));
}

void agent_process::send_reply(const request_id& id, const wire::serve_reply& reply) {
    const auto found = open_requests_.find(id);
    if (found == open_requests_.end()) {
        return;
    }
    found->second.trace_span->set_attribute(
        "outcome", std::string(name_of(wire::serve_outcome_names, reply.outcome)));
    if (const std::shared_ptr<frame_connection> connection = found->second.connection.lock()) {
        connection->send(reply);
    }
    open_requests_.erase(found);
}

void agent_process::refuse_request(const request_id& id, refusal reason) {
    wire::serve_reply reply;
    reply.request_id = id.number;
    reply.outcome = wire::serve_outcome::not_run;
    reply.reason = reason;
    send_reply(id, reply);
}

void agent_process::finish_stop_if_ready() {
    if (!stopping_) {
        return;
    }
    const boot_time now = boot_now();
    const bool is_idle = open_requests_.empty() && worker_caller_.starts_in_flight() == 0;
    if ((is_idle && now >= earliest_stop_) || now >= stop_deadline_) {
        write_log(log_part::process, log_level::info, "Stopped.");
        loop_.stop();
    }
}

} // namespace egretstile::daemon
