#include "entry/entry_process.hpp"

#include "entry/caller_api.hpp"
#include "entry/operator_api.hpp"

#include <egretstile/core/shard/shard_map.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <fstream>
#include <optional>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

constexpr milliseconds advance_interval{20};
constexpr milliseconds scheduling_interval{25};
constexpr milliseconds shard_maintenance_interval{500};
constexpr milliseconds housekeeping_interval{200};
constexpr milliseconds plan_submission_interval{1000};
/// After a stop is requested, callers are served for at least this long, so that the load balancer
/// sees `/readyz` fail before connections are refused.
constexpr milliseconds stop_grace_period{1000};

std::string advertised_host(const entry_settings& settings) {
    return settings.advertised.port == 0 ? settings.peers.host : settings.advertised.host;
}

} // namespace

entry_process::entry_process(entry_settings settings)
    : settings_(std::move(settings))
    , tracer_("entry", settings_.common.trace_file)
    , store_(settings_.key_value.host, settings_.key_value.port, settings_.key_value_timeout)
    , directory_(loop_, store_, [this] { members_changed(); })
    , plans_(loop_, store_, [this] { update_ready(); })
    , session_(loop_, store_, settings_.common.terms, settings_.name,
               {[this](const entry_id& id, boot_time sent_at) { session_opened(id, sent_at); },
                [this](boot_time sent_at) { tasks_.session_renewed(sent_at); },
                [this] {
                    tasks_.session_lost();
                    update_ready();
                }})
    , tasks_(loop_, store_, settings_, fleet_)
    , requests_(loop_, settings_.routing, fleet_)
    , peers_(loop_, settings_)
    , scheduler_(settings_, tasks_, fleet_, plans_)
    , plan_submitter_(tasks_, plans_)
    , peer_server_(loop_, settings_.peers, settings_.common.deployment_key,
                   {wire::peer_role::entry, settings_.name, 0}, peer_handlers())
    , caller_api_(std::make_unique<caller_api>(*this))
    , operator_api_(std::make_unique<operator_api>(*this))
    , callers_(std::make_unique<http_service>(
          settings_.callers, http_service::limits{},
          [this](const http_request& request) { return caller_api_->handle(request); }))
    , operators_(std::make_unique<http_service>(
          settings_.operators, http_service::limits{},
          [this](const http_request& request) { return operator_api_->handle(request); })) {}

entry_process::~entry_process() = default;

void entry_process::run() {
    session_.start();
    directory_.start();
    plans_.start();
    start_timers();
    write_ports_file();
    write_log(log_part::process, log_level::info, "Started an entry.",
              "name=" + settings_.name + " callers=" + std::to_string(callers_->port()) +
                  " operators=" + std::to_string(operators_->port()) +
                  " peers=" + std::to_string(peer_server_.port()));
    loop_.run();
    callers_->stop();
    operators_->stop();
    // Aborts the pending watch, which would otherwise delay the exit of the process.
    store_.abort();
}

void entry_process::request_stop() {
    if (!stop_requested_.exchange(true)) {
        loop_.post([this] { begin_stop(); });
    }
}

void entry_process::start_timers() {
    loop_.call_every(advance_interval, [this] { tasks_.advance(); });
    loop_.call_every(scheduling_interval, [this] { scheduler_.run(boot_now()); });
    loop_.call_every(shard_maintenance_interval, [this] { tasks_.maintain(directory_); });
    loop_.call_every(plan_submission_interval,
                     [this] { plan_submitter_.run(boot_now(), wall_now_ms()); });
    loop_.call_every(housekeeping_interval, [this] {
        peers_.maintain();
        for (const vm_name& vm : fleet_.remove_silent(boot_now())) {
            requests_.remove_upstream(vm);
            scheduler_.remove_vm(vm);
        }
        update_ready();
        update_metrics();
        continue_stop();
    });
}

void entry_process::write_ports_file() const {
    if (settings_.common.ports_file.empty()) {
        return;
    }
    // Written to a temporary file and renamed, so that a reader never sees an incomplete file.
    const std::string partial = settings_.common.ports_file + ".partial";
    std::ofstream(partial) << "{\"callers\":" << callers_->port()
                           << ",\"operators\":" << operators_->port()
                           << ",\"peers\":" << peer_server_.port() << "}\n";
    static_cast<void>(std::rename(partial.c_str(), settings_.common.ports_file.c_str()));
}

frame_connection::handlers entry_process::peer_handlers() {
    frame_connection::handlers callbacks;
    callbacks.on_open = [](frame_connection&, const wire::hello&) {};
    callbacks.on_message = [this](frame_connection& connection, wire::message&& message) {
        handle_message(connection, std::move(message));
    };
    callbacks.on_closed = [this](frame_connection& connection) { connection_closed(connection); };
    return callbacks;
}

void entry_process::handle_message(frame_connection& connection, wire::message&& message) {
    if (connection.peer().role == wire::peer_role::entry) {
        handle_forwarded_call(connection, message);
        return;
    }
    const vm_name vm = connection.peer().name;
    if (const wire::heartbeat* const heartbeat = std::get_if<wire::heartbeat>(&message)) {
        if (heartbeat->vm == vm) {
            handle_heartbeat(connection, *heartbeat);
        }
    } else if (const wire::start_reply* const started = std::get_if<wire::start_reply>(&message)) {
        tasks_.apply_start_answer(vm, connection.peer().incarnation, *started, boot_now());
    } else if (wire::serve_reply* const served = std::get_if<wire::serve_reply>(&message)) {
        requests_.reply_received(vm, std::move(*served));
    }
}

void entry_process::handle_heartbeat(frame_connection& connection,
                                     const wire::heartbeat& heartbeat) {
    const boot_time now = boot_now();
    if (fleet_.replaces_connection(heartbeat.vm, connection)) {
        requests_.connection_lost(heartbeat.vm);
    }
    fleet_vm* const vm = fleet_.apply_heartbeat(heartbeat, connection, plans_.current(), now);
    if (vm == nullptr || !session_.is_open()) {
        return;
    }
    const bool domain_in_service = in_service(plans_.current(), heartbeat.failure_domain);
    requests_.update_upstream(*vm, domain_in_service, now);
    wire::heartbeat_reply reply;
    reply.sequence = heartbeat.sequence;
    reply.entry = session_.id();
    if (const std::optional<boot_time> confirmed = plans_.revision_tracker().confirmed_at()) {
        reply.plan_known = true;
        reply.plan_revision = plans_.revision_tracker().revision();
        reply.plan_age_ms =
            static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(now - *confirmed).count());
        reply.domain_in_service = domain_in_service;
        reply.vm_drained = is_drained(plans_.current(), heartbeat.vm);
    }
    tasks_.apply_heartbeat(heartbeat, reply, now);
    record_ended_runs(heartbeat, reply, now);
    scheduler_.protect_service(*vm, now);
    for (const member& row : directory_.live()) {
        reply.entries.push_back({row.id, row.host, row.port});
    }
    vm->answered_sequence = heartbeat.sequence;
    connection.send(reply);
}

void entry_process::record_ended_runs(const wire::heartbeat& heartbeat,
                                      const wire::heartbeat_reply& reply, boot_time now) {
    for (const task_run& run : reply.acknowledged) {
        for (const run_report& report : heartbeat.runs) {
            if (report.run == run) {
                scheduler_.record_run_end(heartbeat.vm, report, now);
            }
        }
    }
}

void entry_process::handle_forwarded_call(frame_connection& connection,
                                          const wire::message& message) {
    const std::weak_ptr<frame_connection> link = connection.weak_from_this();
    const auto answer_to = [link](std::uint64_t call_id) {
        return [link, call_id](const task_answer& answer) {
            if (const std::shared_ptr<frame_connection> open = link.lock()) {
                open->send(
                    wire::forward_reply{call_id, answer.outcome, answer.reason, answer.record});
            }
        };
    };
    if (const wire::forward_submit* const submit = std::get_if<wire::forward_submit>(&message)) {
        tasks_.submit(submit->spec, answer_to(submit->call_id));
    } else if (const wire::forward_query* const query =
                   std::get_if<wire::forward_query>(&message)) {
        tasks_.query(query->key, answer_to(query->call_id));
    } else if (const wire::forward_cancel* const cancel =
                   std::get_if<wire::forward_cancel>(&message)) {
        tasks_.cancel(cancel->key, answer_to(cancel->call_id));
    }
}

void entry_process::connection_closed(const frame_connection& connection) {
    for (const vm_name& vm : fleet_.remove_connection(connection)) {
        write_log(log_part::net, log_level::info, "Lost the connection of an agent.", "vm=" + vm);
        requests_.connection_lost(vm);
    }
}

void entry_process::members_changed() {
    peers_.set_members(directory_.live(), session_.id());
    std::string names;
    for (const entry_id& entry : directory_.live_ids()) {
        names += (names.empty() ? "" : ",") + entry;
    }
    write_log(log_part::membership, log_level::info, "The set of live entries changed.",
              "entries=" + names);
    tasks_.maintain(directory_);
}

void entry_process::session_opened(const entry_id& id, boot_time sent_at) {
    const std::uint16_t port =
        settings_.advertised.port == 0 ? peer_server_.port() : settings_.advertised.port;
    tasks_.session_opened(id, sent_at);
    directory_.publish_self({id, advertised_host(settings_), port});
    peer_server_.set_hello({wire::peer_role::entry, id, 0});
    update_ready();
}

void entry_process::update_ready() {
    ready_ =
        session_.is_open() && plans_.revision_tracker().confirmed_at().has_value() && !stopping_;
}

void entry_process::update_metrics() {
    std::size_t queued = 0;
    tasks_.for_each_owned(
        [&queued](const shard_host& shard) { queued += shard.ledger().queued().size(); });
    metrics_.set_state(fleet_.vms().size(), tasks_.owned_shards(), queued,
                       plans_.revision_tracker().revision());
    metrics_.set_frame_bytes(peer_server_.bytes_received(), peer_server_.bytes_sent());
}

void entry_process::begin_stop() {
    write_log(log_part::process, log_level::info, "Stopping.",
              "open_requests=" + std::to_string(requests_.open_requests()));
    stopping_ = true;
    stop_accepting_at_ = boot_now() + stop_grace_period;
    stop_deadline_ = boot_now() + settings_.stop_timeout;
    update_ready();
    callers_->disable_keep_alive();
    operators_->disable_keep_alive();
    tasks_.release_all();
}

void entry_process::continue_stop() {
    if (!stopping_) {
        return;
    }
    const boot_time now = boot_now();
    const bool finished = now >= stop_accepting_at_ && requests_.open_requests() == 0 &&
                          callers_->active() == 0 && tasks_.owned_shards() == 0;
    if (finished || now >= stop_deadline_) {
        stopping_ = false;
        finish_stop();
    }
}

void entry_process::finish_stop() {
    directory_.remove_self([this] {
        session_.close([this] {
            write_log(log_part::process, log_level::info, "Stopped.");
            loop_.stop();
        });
    });
}

entry_id entry_process::remote_owner(const task_key& key) const {
    const shard_number shard = shard_of_task(key, settings_.shard_count);
    const std::optional<entry_id> preferred = preferred_entry(shard, directory_.live_ids());
    return !preferred || *preferred == session_.id() ? entry_id() : *preferred;
}

void entry_process::submit_task(const task_spec& spec, boot_time deadline,
                                const task_service::answer_callback& done) {
    const entry_id owner = remote_owner(spec.key);
    if (owner.empty() || tasks_.shard_of_key(spec.key).can_accept_tasks()) {
        tasks_.submit(spec, done);
    } else {
        peers_.submit(owner, spec, deadline, done);
    }
}

void entry_process::query_task(const task_key& key, boot_time deadline,
                               const task_service::answer_callback& done) {
    const entry_id owner = remote_owner(key);
    if (owner.empty() || tasks_.shard_of_key(key).is_owned()) {
        tasks_.query(key, done);
    } else {
        peers_.query(owner, key, deadline, done);
    }
}

void entry_process::cancel_task(const task_key& key, boot_time deadline,
                                const task_service::answer_callback& done) {
    const entry_id owner = remote_owner(key);
    if (owner.empty() || tasks_.shard_of_key(key).can_accept_tasks()) {
        tasks_.cancel(key, done);
    } else {
        peers_.cancel(owner, key, deadline, done);
    }
}

} // namespace egretstile::daemon
